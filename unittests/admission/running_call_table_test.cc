#include "wisteriarill/admission/running_call_table.h"

#include <gtest/gtest.h>

namespace wisteriarill {
namespace {

constexpr const char* kParentId = "9c41d07be2a35f68";
constexpr const char* kNestedId = "9c41d07be2a35f68.1";

TEST(RunningCallTableTest, FindsTheParentOfANestedCall) {
  RunningCallTable table;
  EXPECT_EQ(table.FindParent(kNestedId), nullptr);
  table.OnStarted(kParentId, 3);
  ASSERT_NE(table.FindParent(kNestedId), nullptr);
  EXPECT_EQ(table.FindParent(kNestedId)->urgency, 3);
  EXPECT_NE(table.FindParent("9c41d07be2a35f68-a7"), nullptr);
}

// Guards against callers' requests that go first as nested calls.
TEST(RunningCallTableTest, TakesUnrelatedIdsForCallers) {
  RunningCallTable table;
  table.OnStarted(kParentId, 0);
  EXPECT_EQ(table.FindParent(kParentId), nullptr);
  EXPECT_EQ(table.FindParent("9c41d07be2a35f680"), nullptr);
  EXPECT_EQ(table.FindParent("9c41d07be2a35f6"), nullptr);
  EXPECT_EQ(table.FindParent("8c41d07be2a35f68.1"), nullptr);
}

// Guards against short ids, such as counters, that others begin with.
TEST(RunningCallTableTest, IgnoresShortParentIds) {
  RunningCallTable table;
  table.OnStarted("17", 0);
  EXPECT_EQ(table.FindParent("17.3"), nullptr);
}

// Guards against a parent that is forgotten while another attempt of it runs.
TEST(RunningCallTableTest, ForgetsAnIdAfterItsLastCall) {
  RunningCallTable table;
  table.OnStarted(kParentId, 0);
  table.OnStarted(kParentId, 0);
  table.OnEnded(kParentId);
  EXPECT_NE(table.FindParent(kNestedId), nullptr);
  table.OnEnded(kParentId);
  EXPECT_EQ(table.FindParent(kNestedId), nullptr);
  table.OnEnded(kParentId);
}

}  // namespace
}  // namespace wisteriarill
