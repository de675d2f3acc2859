/// \file
/// What callers see: statuses and headers, bodies of any size, bad input, and
/// a planned stop under load.
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <fstream>
#include <sstream>
#include <thread>

#include "fleet_fixture.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kLargeBody = 64U << 20;
// The memory that a node may use for control, in kilobytes; a large body must
// not add as much again.
constexpr double kMostGrowthKb = 64.0 * 1024;

double ResidentKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) return std::stod(line.substr(6));
  }
  return 0;
}

class CallerInterfaceTest : public FleetTest {
 protected:
  void Start() {
    FleetOptions options;
    options.deployment = SmallMesh();
    StartFleet(std::move(options));
  }

  HttpCallResult Call(HttpCall call) {
    HttpConnection connection(fleet_->servers().at("north-1").caller_address,
                              seconds(30));
    return connection.Call(call);
  }

  static HttpCall MakeCall(const std::string& path,
                           const std::string& workspace) {
    HttpCall call;
    call.path = path;
    if (!workspace.empty()) call.key = Fleet::KeyForWorkspace(workspace);
    return call;
  }

  // Sends raw bytes and returns what comes back until the end.
  std::string SendRaw(const std::string& address, const std::string& bytes,
                      bool half_close) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    socket.setReceiveTimeout(Poco::Timespan(2, 0));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (half_close) socket.shutdownSend();
    std::string answer;
    char buffer[4096];
    try {
      for (int n = 1; n > 0;) {
        n = socket.receiveBytes(buffer, sizeof buffer);
        answer.append(buffer, static_cast<std::size_t>(std::max(n, 0)));
      }
    } catch (const Poco::Exception&) {
      return answer;
    }
    return answer;
  }
};

TEST_F(CallerInterfaceTest, StatusesAndHeaders) {
  Start();
  const HttpCallResult ok = Call(MakeCall("/x", "alpha"));
  EXPECT_EQ(ok.status, 200);
  EXPECT_EQ(ok.outcome, "done");
  EXPECT_NE(ok.body.find(ok.request_id), std::string::npos);

  const HttpCallResult no_key = Call(MakeCall("/x", ""));
  EXPECT_EQ(no_key.status, 401);
  EXPECT_EQ(no_key.outcome, "not-run");
  EXPECT_EQ(no_key.headers.at("content-type"), "application/problem+json");
  EXPECT_NE(no_key.body.find("\"detail\""), std::string::npos);
  EXPECT_EQ(Call(MakeCall("/x", "stranger")).status, 401);
  EXPECT_EQ(Call(MakeCall("/beta/y", "alpha")).status, 403);
  EXPECT_EQ(Call(MakeCall("/beta/y", "beta")).status, 200);
  EXPECT_EQ(Call(MakeCall("/open/z", "")).status, 200);
  EXPECT_EQ(Call(MakeCall("/beta/../open/z", "")).status, 200);

  HttpCall head = MakeCall("/x", "alpha");
  head.method = "HEAD";
  EXPECT_EQ(Call(head).status, 200);
  EXPECT_EQ(Call(MakeCall("/x?status=404", "alpha")).status, 404);
  EXPECT_EQ(Call(MakeCall("/x?status=204", "alpha")).status, 204);
  ExpectPromises({});
}

TEST_F(CallerInterfaceTest, DeadlinesAndCuts) {
  Start();
  HttpCall late = MakeCall("/x?work_ms=900", "alpha");
  late.method = "POST";
  late.headers["Wisteria-Deadline"] = "200";
  const HttpCallResult unknown = Call(late);
  EXPECT_EQ(unknown.status, 504);
  EXPECT_EQ(unknown.outcome, "unknown");
  late.headers["Wisteria-Deadline"] = "soon";
  EXPECT_EQ(Call(late).status, 400);
  for (const char* path :
       {"/x?bytes=500000&cut=200000", "/x?bytes=500000&cut=200000&chunked=1"}) {
    HttpCall cut = MakeCall(path, "alpha");
    cut.method = "POST";
    EXPECT_EQ(Call(cut).status, 0) << "a cut answer looked whole";
  }
}

TEST_F(CallerInterfaceTest, OverRateIsToldWithRetryAfter) {
  Start();
  Deployment slow = fleet_->deployment();
  slow.workspaces[1].rate = kMicroTokensPerToken;
  slow.workspaces[1].burst = 4 * kMicroTokensPerToken;
  PublishNext(slow);
  ASSERT_TRUE(fleet_->WaitForVersion(2, seconds(10)).has_value());
  HttpCallResult reply;
  for (int i = 0; i < 12 && reply.status != 429; ++i) {
    reply = Call(MakeCall("/x", "beta"));
  }
  EXPECT_EQ(reply.status, 429);
  EXPECT_EQ(reply.outcome, "not-run");
  EXPECT_EQ(reply.headers.at("retry-after"), "1");
}

TEST_F(CallerInterfaceTest, NestedCallsRunForTheParentsWorkspace) {
  Start();
  const std::string node = fleet_->servers().at("north-1").caller_address;
  // Whichever backend server runs the parent must call through its own node:
  // through another, the parent is not known.
  HttpCall call = MakeCall("/x?nested=/beta/y&node=" + node, "beta");
  std::set<std::string> seen;
  std::string last;
  for (int i = 0; i < 40 && seen.size() < 2; ++i) {
    const HttpCallResult reply = Call(call);
    seen.insert(reply.body.substr(0, 3));
    last = std::to_string(reply.status) + " " + reply.body;
  }
  EXPECT_EQ(seen.count("200"), 1U) << last;
  EXPECT_EQ(seen.count("401"), 1U);
  HttpCall forged = MakeCall("/x", "");
  forged.headers["Wisteria-Parent"] = "0123456789abcdef-1";
  EXPECT_EQ(Call(forged).status, 401);
}

TEST_F(CallerInterfaceTest, LargeBodiesInBoundedMemory) {
  Start();
  HttpCall small = MakeCall("/slow/x", "alpha");
  Call(small);
  std::map<std::string, double> before;
  for (const auto& [name, server] : fleet_->servers()) {
    before[name] = ResidentKb(server.node_process->pid());
  }
  HttpCall echo = MakeCall("/slow/x", "alpha");
  echo.method = "POST";
  echo.body.resize(kLargeBody);
  for (std::size_t i = 0; i < echo.body.size(); ++i) {
    echo.body[i] = static_cast<char>(i * 2654435761U >> 16);
  }
  const HttpCallResult reply = Call(echo);
  EXPECT_EQ(reply.status, 200) << reply.failure;
  EXPECT_TRUE(reply.body == echo.body);
  for (const auto& [name, server] : fleet_->servers()) {
    const double growth = ResidentKb(server.node_process->pid()) - before[name];
    EXPECT_LT(growth, kMostGrowthKb) << name;
  }
}

TEST_F(CallerInterfaceTest, WrongInputIsRefusedAndNothingBreaks) {
  Start();
  const FleetServer& server = fleet_->servers().at("north-1");
  for (const std::string& address :
       {server.caller_address, server.peer_address}) {
    SendRaw(address, "\x01\x02\x03 nonsense\r\n\r\n", true);
    SendRaw(address, std::string(200'000, 'A'), true);
    SendRaw(address, std::string(1, '\xff') + "\xff\xff\x7f", true);
    SendRaw(address, "", true);
  }
  const std::string head =
      "POST /x HTTP/1.1\r\nHost: mesh\r\nAuthorization: Bearer " +
      Fleet::KeyForWorkspace("alpha") + "\r\n";
  const std::string half = SendRaw(
      server.caller_address, head + "Content-Length: 50000\r\n\r\nshort", true);
  EXPECT_EQ(half.find("HTTP/1.1 200"), std::string::npos);
  const std::string negative =
      SendRaw(server.caller_address, head + "Content-Length: -5\r\n\r\n", true);
  EXPECT_EQ(negative.find("HTTP/1.1 200"), std::string::npos);
  EXPECT_EQ(Call(MakeCall("/x", "alpha")).status, 200);
  EXPECT_GT(FindMetric(HttpGet(server.operator_address, "/metrics"),
                       "wisteria_peer_malformed_frames"),
            0);
  ExpectPromises({});
}

TEST_F(CallerInterfaceTest, NoKeyReachesALog) {
  Start();
  Call(MakeCall("/x", "alpha"));
  Call(MakeCall("/x", "stranger"));
  for (const auto& [name, server] : fleet_->servers()) {
    std::ifstream log(directory_ + "/" + name + ".node.log");
    std::stringstream text;
    text << log.rdbuf();
    EXPECT_EQ(text.str().find("key-of-"), std::string::npos) << name;
  }
}

TEST_F(CallerInterfaceTest, APlannedStopCutsOffNoRequest) {
  Start();
  std::vector<LoadStream> streams;
  for (const char* method : {"GET", "POST"}) {
    LoadStream stream;
    stream.workspace = "alpha";
    stream.rate = 100;
    stream.call.method = method;
    stream.call.path = "/x?work_ms=20";
    stream.call.key = Fleet::KeyForWorkspace("alpha");
    // Callers of the leaving node move on as its answers tell them to; here
    // they stay with the others.
    for (const auto& [name, server] : fleet_->servers()) {
      if (name != "north-2") stream.addresses.push_back(server.caller_address);
    }
    streams.push_back(std::move(stream));
  }
  LoadGenerator load(streams, 32, 5);
  load.Start();
  LoadStream leaving = streams.front();
  leaving.addresses = {fleet_->servers().at("north-2").caller_address};
  LoadGenerator at_leaving({leaving}, 8, 6);
  at_leaving.Start();
  std::this_thread::sleep_for(seconds(1));
  std::thread callers_move([&] {
    std::this_thread::sleep_for(milliseconds(600));
    for (const LoadSample& sample : at_leaving.Stop()) {
      EXPECT_EQ(sample.status, 200) << "a caller of the leaving node";
    }
  });
  EXPECT_TRUE(fleet_->StopNode("north-2", seconds(30)));
  callers_move.join();
  std::this_thread::sleep_for(seconds(1));
  const std::vector<LoadSample> samples = load.Stop();
  for (const LoadSample& sample : samples) {
    EXPECT_EQ(sample.status, 200) << sample.outcome;
  }
  ExpectPromises(samples);
}

}  // namespace
}  // namespace wisteriarill
