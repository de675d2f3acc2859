// What is read from the fields by which a server speaks of itself.
#include <gtest/gtest.h>

#include "mesh_fixture.h"
#include "wisteriarill/mesh/backend_report_parser.h"

namespace wisteriarill {
namespace {

BackendReport Parse(const HttpFields& fields) {
  return ParseBackendReport(fields, TestFieldNames());
}

TEST(BackendReportTest, ReadsLimitsWithFractions) {
  EXPECT_EQ(Parse({{"test-limit", "7.9"}}).rate_limit, 7.9);
  EXPECT_EQ(Parse({{"Test-Limit", "0"}}).rate_limit, 0);
  EXPECT_EQ(Parse({{"Test-Limit", "120"}}).rate_limit, 120);
  EXPECT_FALSE(Parse({}).rate_limit);
  EXPECT_FALSE(Parse({}).malformed_rate_limit);
}

TEST(BackendReportTest, AMalformedOrRepeatedLimitIsNoStatement) {
  for (const char* text : {"", "-1", "+1", "nan", "inf", "1e3", "0x10", "5, 5",
                           "5 ", ".5", "5.1.2", "five"}) {
    const BackendReport report = Parse({{"Test-Limit", text}});
    EXPECT_FALSE(report.rate_limit) << text;
    EXPECT_TRUE(report.malformed_rate_limit) << text;
  }
  const BackendReport repeated =
      Parse({{"Test-Limit", "5"}, {"Test-Limit", "6"}});
  EXPECT_FALSE(repeated.rate_limit);
  EXPECT_TRUE(repeated.malformed_rate_limit);
}

TEST(BackendReportTest, AHugeLimitIsNone) {
  for (const std::string& text :
       {std::string("1000000"), std::string(400, '9')}) {
    EXPECT_FALSE(Parse({{"Test-Limit", text}}).rate_limit) << text;
    EXPECT_FALSE(Parse({{"Test-Limit", text}}).malformed_rate_limit) << text;
  }
}

TEST(BackendReportTest, OnlyTheStatedValueMeansLeaving) {
  EXPECT_TRUE(Parse({{"Test-Leaving", "1"}}).leaving);
  for (const char* text : {"", "0", "10", "false"})
    EXPECT_FALSE(Parse({{"Test-Leaving", text}}).leaving) << text;
}

TEST(BackendReportTest, ReadsLoadAndColdTime) {
  const BackendReport report =
      Parse({{"Test-Load", "3,0,8,250"}, {"Test-Cold", "1500"}});
  EXPECT_EQ(report.work_factor, 2.5);
  EXPECT_EQ(report.cold_remaining, milliseconds(1500));
  EXPECT_FALSE(Parse({{"Test-Load", "3,0,8"}}).work_factor);
  EXPECT_FALSE(Parse({}).cold_remaining);
}

}  // namespace
}  // namespace wisteriarill
