#include "wisteriarill/admission/nested_call_detector.h"

#include <gtest/gtest.h>

namespace wisteriarill {
namespace {

constexpr const char* kParentId = "9c41d07be2a35f68";

TEST(NestedCallDetectorTest, RecognizesCallsOfRunningCalls) {
  NestedCallDetector detector;
  EXPECT_FALSE(detector.IsNested("9c41d07be2a35f68.1"));
  detector.OnCallStarted(kParentId);
  EXPECT_TRUE(detector.IsNested("9c41d07be2a35f68.1"));
  EXPECT_TRUE(detector.IsNested("9c41d07be2a35f68-a7"));
}

// Guards against callers' requests that go first as nested calls.
TEST(NestedCallDetectorTest, TakesUnrelatedIdsForCallers) {
  NestedCallDetector detector;
  detector.OnCallStarted(kParentId);
  EXPECT_FALSE(detector.IsNested(kParentId));
  EXPECT_FALSE(detector.IsNested("9c41d07be2a35f680"));
  EXPECT_FALSE(detector.IsNested("9c41d07be2a35f6"));
  EXPECT_FALSE(detector.IsNested("8c41d07be2a35f68.1"));
}

// Guards against short ids, such as counters, that others begin with.
TEST(NestedCallDetectorTest, IgnoresShortParentIds) {
  NestedCallDetector detector;
  detector.OnCallStarted("17");
  EXPECT_FALSE(detector.IsNested("17.3"));
}

// Guards against a parent that is forgotten while another attempt of it runs.
TEST(NestedCallDetectorTest, ForgetsAnIdAfterItsLastCall) {
  NestedCallDetector detector;
  detector.OnCallStarted(kParentId);
  detector.OnCallStarted(kParentId);
  detector.OnCallEnded(kParentId);
  EXPECT_TRUE(detector.IsNested("9c41d07be2a35f68.1"));
  detector.OnCallEnded(kParentId);
  EXPECT_FALSE(detector.IsNested("9c41d07be2a35f68.1"));
  detector.OnCallEnded(kParentId);
}

}  // namespace
}  // namespace wisteriarill
