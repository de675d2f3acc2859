/// \file
/// Tests the interface for callers: statuses and header fields, large bodies,
/// malformed input, and a planned stop of a node under load.
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <fstream>
#include <sstream>
#include <thread>

#include "fleet_fixture.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kLargeBody = 64U << 20;
// How much the memory of a node may grow in KiB: 64 MiB for its own state. A
// node that buffered the whole of kLargeBody, 64 MiB as well, would exceed it.
constexpr double kMaxGrowthKb = 64.0 * 1024;

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
    options.deployment = SmallDeployment();
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

  // Sends raw bytes and returns what is received until the connection is closed
  // or nothing arrives for 2 s.
  std::string SendRaw(const std::string& address, const std::string& bytes,
                      bool half_close) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    socket.setReceiveTimeout(Poco::Timespan(2, 0));
    std::string received;
    char buffer[4096];
    try {
      // Both calls fail if the node refused the first bytes and closed the
      // connection.
      socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      if (half_close) socket.shutdownSend();
      for (int n = 1; n > 0;) {
        n = socket.receiveBytes(buffer, sizeof buffer);
        received.append(buffer, static_cast<std::size_t>(std::max(n, 0)));
      }
    } catch (const Poco::Exception&) {
      return received;
    }
    return received;
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
  ExpectGuarantees({});
}

TEST_F(CallerInterfaceTest, DeadlinesAndTruncatedResponses) {
  Start();
  HttpCall with_deadline = MakeCall("/x?work_ms=900", "alpha");
  with_deadline.method = "POST";
  with_deadline.headers["Wisteria-Deadline"] = "200";
  const HttpCallResult unknown = Call(with_deadline);
  EXPECT_EQ(unknown.status, 504);
  EXPECT_EQ(unknown.outcome, "unknown");
  with_deadline.headers["Wisteria-Deadline"] = "soon";
  EXPECT_EQ(Call(with_deadline).status, 400);
  for (const char* path :
       {"/x?bytes=500000&cut=200000", "/x?bytes=500000&cut=200000&chunked=1"}) {
    HttpCall truncated = MakeCall(path, "alpha");
    truncated.method = "POST";
    EXPECT_EQ(Call(truncated).status, 0)
        << "a truncated response was taken as complete";
  }
}

TEST_F(CallerInterfaceTest, OverRateIsRefusedWithRetryAfter) {
  Start();
  Deployment low_rate = fleet_->deployment();
  low_rate.workspaces[1].rate = kMicroTokensPerToken;
  low_rate.workspaces[1].burst = 4 * kMicroTokensPerToken;
  PublishNextVersion(low_rate);
  ASSERT_TRUE(fleet_->WaitForVersion(2, seconds(10)).has_value());
  HttpCallResult result;
  for (int i = 0; i < 12 && result.status != 429; ++i) {
    result = Call(MakeCall("/x", "beta"));
  }
  EXPECT_EQ(result.status, 429);
  EXPECT_EQ(result.outcome, "not-run");
  EXPECT_EQ(result.headers.at("retry-after"), "1");
}

TEST_F(CallerInterfaceTest, NestedCallsRunForTheParentsWorkspace) {
  Start();
  const std::string node = fleet_->servers().at("north-1").caller_address;
  // Only the node beside the backend server that runs the parent call knows it.
  // All nested calls go to one node here, so those of other backend servers are
  // refused with 401.
  HttpCall call = MakeCall("/x?nested=/beta/y&node=" + node, "beta");
  std::set<std::string> statuses;
  std::string last_response;
  for (int i = 0; i < 40 && statuses.size() < 2; ++i) {
    const HttpCallResult result = Call(call);
    statuses.insert(result.body.substr(0, 3));
    last_response = std::to_string(result.status) + " " + result.body;
  }
  EXPECT_EQ(statuses.count("200"), 1U) << last_response;
  EXPECT_EQ(statuses.count("401"), 1U);
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
  const HttpCallResult result = Call(echo);
  EXPECT_EQ(result.status, 200) << result.failure;
  EXPECT_TRUE(result.body == echo.body);
  for (const auto& [name, server] : fleet_->servers()) {
    const double growth = ResidentKb(server.node_process->pid()) - before[name];
    EXPECT_LT(growth, kMaxGrowthKb) << name;
  }
}

TEST_F(CallerInterfaceTest, MalformedInputIsRefused) {
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
  const std::string truncated_request = SendRaw(
      server.caller_address, head + "Content-Length: 50000\r\n\r\nshort", true);
  EXPECT_EQ(truncated_request.find("HTTP/1.1 200"), std::string::npos);
  const std::string negative =
      SendRaw(server.caller_address, head + "Content-Length: -5\r\n\r\n", true);
  EXPECT_EQ(negative.find("HTTP/1.1 200"), std::string::npos);
  EXPECT_EQ(Call(MakeCall("/x", "alpha")).status, 200);
  EXPECT_GT(FindMetric(HttpGet(server.operator_address, "/metrics"),
                       "wisteria_peer_malformed_frames"),
            0);
  ExpectGuarantees({});
}

TEST_F(CallerInterfaceTest, NoKeyIsLogged) {
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
    // These callers use the other nodes only. The callers of the stopping node
    // are below; they move to other nodes as its responses ask them to.
    for (const auto& [name, server] : fleet_->servers()) {
      if (name != "north-2") stream.addresses.push_back(server.caller_address);
    }
    streams.push_back(std::move(stream));
  }
  LoadGenerator load(streams, 32, 5);
  load.Start();
  LoadStream stopping_node_stream = streams.front();
  stopping_node_stream.addresses = {
      fleet_->servers().at("north-2").caller_address};
  LoadGenerator stopping_node_load({stopping_node_stream}, 8, 6);
  stopping_node_load.Start();
  std::this_thread::sleep_for(seconds(1));
  std::thread move_callers([&] {
    std::this_thread::sleep_for(milliseconds(600));
    for (const LoadSample& sample : stopping_node_load.Stop()) {
      EXPECT_EQ(sample.status, 200) << "a caller of the stopping node";
    }
  });
  EXPECT_TRUE(fleet_->StopNode("north-2", seconds(30)));
  move_callers.join();
  std::this_thread::sleep_for(seconds(1));
  const std::vector<LoadSample> samples = load.Stop();
  for (const LoadSample& sample : samples) {
    EXPECT_EQ(sample.status, 200) << sample.outcome;
  }
  ExpectGuarantees(samples);
}

}  // namespace
}  // namespace wisteriarill
