// What a node remembers of servers whose responses it relayed.
#include "wisteriarill/routing/backend_statement_table.h"

#include <gtest/gtest.h>

namespace wisteriarill {
namespace {

const Instant kStart{seconds(100)};

BackendReport Limit(double limit) {
  BackendReport report;
  report.rate_limit = limit;
  return report;
}

Instant At(int millis) { return kStart + milliseconds(millis); }

TEST(BackendStatementTableTest, TellsTheNewestLimitOfThatStartOnly) {
  BackendStatementTable table;
  table.OnResponse({"i-1", 7}, Limit(5), true, At(0), At(10));
  table.OnResponse({"i-1", 7}, Limit(4), true, At(10), At(20));
  const auto told = table.TellPeer({"i-1", 7}, At(120));
  ASSERT_TRUE(told);
  EXPECT_EQ(told->rate, 4);
  EXPECT_EQ(told->age, milliseconds(100));
  EXPECT_FALSE(table.TellPeer({"i-1", 8}, At(120)));
  EXPECT_FALSE(table.TellPeer({"i-2", 7}, At(120)));
}

// Guards against calls to a server whose word was heard, once by this node and
// once by the node beside the server.
TEST(BackendStatementTableTest, LeavingBindsThatStartOnly) {
  BackendStatementTable table;
  BackendReport leaving;
  leaving.leaving = true;
  table.OnResponse({"i-1", 7}, leaving, true, At(0), At(10));
  table.OnResponse({"i-1", 7}, {}, true, At(20), At(30));
  EXPECT_TRUE(table.IsLeaving({"i-1", 7}));
  EXPECT_FALSE(table.IsLeaving({"i-1", 8}));
  table.OnLeaving({"i-2", 7}, At(40));
  EXPECT_TRUE(table.IsLeaving({"i-2", 7}));
  EXPECT_NE(DigestOf({"i-1", 7}), DigestOf({"i-1", 8}));
  EXPECT_NE(DigestOf({"i-1", 7}), 0U);
}

TEST(BackendStatementTableTest, ForgetsServersThatStateNothing) {
  BackendStatementTable table;
  table.OnResponse({"i-1", 7}, {}, true, At(0), At(10));
  EXPECT_EQ(table.size(), 0U);
  table.OnResponse({"i-1", 7}, Limit(5), true, At(0), At(10));
  table.OnResponse({"i-1", 7}, {}, true, At(20), At(30));
  EXPECT_EQ(table.size(), 0U);
}

// Guards against memory that grows with every server there ever was.
TEST(BackendStatementTableTest, IsBounded) {
  BackendStatementTable table;
  for (int i = 0; i < 5000; ++i)
    table.OnResponse({"i-" + std::to_string(i), 1}, Limit(5), true, At(i),
                     At(i));
  EXPECT_LE(table.size(), 4096U);
  EXPECT_TRUE(table.TellPeer({"i-4999", 1}, At(5000)));
  EXPECT_FALSE(table.TellPeer({"i-0", 1}, At(5000)));
}

}  // namespace
}  // namespace wisteriarill
