#include "wisteriarill/process/call_trace.h"

#include <gtest/gtest.h>

#include <sstream>

namespace wisteriarill {
namespace {

constexpr const char* kIngressLog =
    "time=2026-12-04T14:00:02.500Z level=info node=n1 event=attempt id=abc "
    "end=unknown reason=no-answer status=0 server=i-1 service=s attempt=1 "
    "ran_ms=40 left_ms=460\n"
    "time=2026-12-04T14:00:02.501Z level=info node=n1 event=call_refused "
    "id=abc status=502 reason=no-answer after_ms=55 config=4.2 "
    "tried=i-1:no-answer\n"
    "time=2026-12-04T14:00:02.600Z level=info node=n1 event=call_refused "
    "id=xabc status=429 reason=over-rate after_ms=1\n"
    "time=2026-12-04T14:00:03.000Z level=warning node=n1 "
    "event=log_lines_left_out of=call_refused lines=7\n";

constexpr const char* kServingNodeLog =
    "  2.49 n2 time=2026-12-04T14:00:02.499Z level=info node=n2 "
    "event=hop_ended id=abc end=unknown reason=no-answer server=i-1 "
    "ran_ms=39\n"
    "time=2026-12-04T14:00:02.470Z level=info node=n2 event=call_refused "
    "id=abc.7 status=503 reason=backend-full after_ms=9 config=4.2\n";

TEST(CallTraceTest, OrdersLinesOfACallAndExplainsItsOutcome) {
  CallTrace trace("abc");
  std::istringstream ingress(kIngressLog);
  std::istringstream serving_node(kServingNodeLog);
  trace.Read(ingress);
  trace.Read(serving_node);
  const std::string text = trace.Render();
  const std::size_t hop =
      text.find("n2: at the node beside i-1 the call ended unknown");
  const std::size_t attempt = text.find("n1: attempt 1 at i-1");
  const std::size_t refusal = text.find("n1: refused with 502");
  ASSERT_NE(refusal, std::string::npos) << text;
  EXPECT_LT(hop, attempt);
  EXPECT_LT(attempt, refusal);
  EXPECT_NE(text.find("conclusion: no-answer: the server received the call"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("a nested call failed: backend-full"), std::string::npos)
      << text;
  EXPECT_EQ(text.find("429"), std::string::npos) << "line of another call";
}

TEST(CallTraceTest, CountsRejectedCallsByCause) {
  CallSummary summary;
  std::istringstream ingress(kIngressLog);
  summary.Read(ingress);
  const std::string text = summary.Render();
  EXPECT_NE(text.find("total: 429 over-rate 1 "), std::string::npos) << text;
  EXPECT_NE(text.find("total: 502 no-answer 1 "), std::string::npos);
  EXPECT_NE(text.find("suppressed or lost log lines: 7"), std::string::npos);
}

TEST(CallTraceTest, ParsesQuotedAndEmptyValues) {
  const LogFields fields = ParseLogLine("x a=1 b=\"two words\" c=");
  EXPECT_EQ(fields.at("a"), "1");
  EXPECT_EQ(fields.at("b"), "two words");
  EXPECT_EQ(fields.at("c"), "");
}

}  // namespace
}  // namespace wisteriarill
