// Which statements of a server hold, and until when.
#include "wisteriarill/admission/backend_statements.h"

#include <gtest/gtest.h>

namespace wisteriarill {
namespace {

const Instant kStart{seconds(100)};

BackendReport Limit(double limit) {
  BackendReport report;
  report.rate_limit = limit;
  return report;
}

BackendReport Malformed() {
  BackendReport report;
  report.malformed_rate_limit = true;
  return report;
}

Instant At(int millis) { return kStart + milliseconds(millis); }

TEST(BackendStatementsTest, AResponseToALaterCallEndsTheLimit) {
  BackendStatements statements;
  statements.OnResponse(Limit(5), true, At(0), At(100));
  statements.OnResponse({}, true, At(50), At(200));
  EXPECT_EQ(statements.rate_limit(), 5) << "it may have been written before";
  statements.OnResponse({}, false, At(150), At(250));
  EXPECT_EQ(statements.rate_limit(), 5) << "not the server's own answer";
  statements.OnResponse(Malformed(), true, At(150), At(250));
  EXPECT_EQ(statements.rate_limit(), 5);
  statements.OnResponse({}, true, At(150), At(300));
  EXPECT_FALSE(statements.rate_limit());
}

TEST(BackendStatementsTest, FollowsEachNewFigure) {
  BackendStatements statements;
  statements.OnResponse(Limit(5), true, At(0), At(100));
  statements.OnResponse(Limit(0), true, At(50), At(120));
  EXPECT_EQ(statements.rate_limit(), 0);
  statements.OnResponse(Limit(9), false, At(50), At(130));
  EXPECT_EQ(statements.rate_limit(), 9) << "a refusal names it, too";
}

TEST(BackendStatementsTest, AHealthPageEndsOnlyWhatHealthPagesNamed) {
  BackendStatements statements;
  statements.OnResponse(Limit(5), true, At(0), At(100));
  statements.OnHealthPage({}, At(200));
  EXPECT_EQ(statements.rate_limit(), 5);
  statements.OnHealthPage(Limit(4), At(300));
  EXPECT_EQ(statements.rate_limit(), 4);
  statements.OnHealthPage({}, At(400));
  EXPECT_FALSE(statements.rate_limit());
}

// Guards against a node that forgets a limit when it restarts.
TEST(BackendStatementsTest, TakesOverWhatPeersWereTold) {
  BackendStatements statements;
  statements.OnToldByPeer({5, milliseconds(400)}, At(1000));
  EXPECT_EQ(statements.rate_limit(), 5);
  statements.OnToldByPeer({7, milliseconds(500)}, At(1000));
  EXPECT_EQ(statements.rate_limit(), 5) << "older";
  statements.OnToldByPeer({6, milliseconds(300)}, At(1000));
  EXPECT_EQ(statements.rate_limit(), 6);
  ASSERT_TRUE(statements.TellPeer(At(1000)));
  EXPECT_EQ(statements.TellPeer(At(1000))->age, milliseconds(300));
  statements.OnResponse({}, true, At(1001), At(1100));
  EXPECT_FALSE(statements.rate_limit());
  statements.OnToldByPeer({6, milliseconds(400)}, At(1100));
  EXPECT_FALSE(statements.rate_limit()) << "the server itself has answered";
}

TEST(BackendStatementsTest, ANewStartIsNotBoundByTheOneBefore) {
  BackendStatements statements;
  BackendReport leaving = Limit(5);
  leaving.leaving = true;
  statements.OnResponse(leaving, true, At(0), At(100));
  EXPECT_TRUE(statements.leaving());
  statements.OnResponse({}, true, At(110), At(150));
  EXPECT_TRUE(statements.leaving()) << "can't be taken back";
  statements.OnNewStart(At(200));
  EXPECT_FALSE(statements.leaving());
  EXPECT_FALSE(statements.rate_limit());
  statements.OnResponse(leaving, true, At(190), At(250));
  EXPECT_FALSE(statements.leaving()) << "of the start before";
  statements.OnToldByPeer({5, milliseconds(100)}, At(290));
  EXPECT_FALSE(statements.rate_limit()) << "of the start before";
}

}  // namespace
}  // namespace wisteriarill
