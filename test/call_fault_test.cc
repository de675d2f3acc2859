/// \file
/// Every fault at every step of a call, checked against the execution logs of
/// the backend stand-ins: no id twice, no "not run" that ran, no answer that
/// is partial or another's.
#include <csignal>
#include <thread>

#include "fleet_fixture.h"

namespace wisteriarill {
namespace {

/// The step at which most calls are when the fault comes.
struct CallStep {
  const char* name;
  const char* path;
  const char* method;
  std::size_t body;
};

// Work time, answer size and body size place calls at a step.
constexpr CallStep kSteps[] = {
    {"queued and sent", "/x?work_ms=60", "POST", 0},
    {"running", "/x?work_ms=400", "POST", 0},
    {"half of the answer", "/x?work_ms=5&bytes=3000000", "GET", 0},
    {"half of a chunked answer", "/x?bytes=3000000&chunked=1", "POST", 0},
    {"half of the request body", "/x?work_ms=20", "POST", 400'000},
};

class CallFaultTest : public FleetTest {
 protected:
  using Fault = std::function<void()>;

  void Start() {
    FleetOptions options;
    options.deployment = SmallMesh();
    options.relays = true;
    StartFleet(std::move(options));
  }

  // Offers calls at `step` from the north while `fault` comes and goes.
  void RunStep(const CallStep& step, const Fault& fault, const Fault& end) {
    SCOPED_TRACE(step.name);
    std::vector<LoadStream> streams;
    for (const char* workspace : {"alpha", "beta"}) {
      LoadStream stream;
      stream.workspace = workspace;
      stream.rate =
          step.body > 0 || std::string(step.path).size() > 16 ? 25 : 60;
      stream.call.method = step.method;
      stream.call.path = step.path;
      stream.call.key = Fleet::KeyForWorkspace(workspace);
      stream.call.body = std::string(step.body, 'b');
      for (const auto& [name, server] : fleet_->servers()) {
        if (server.failure_domain == "north" &&
            server.node_process.has_value()) {
          stream.addresses.push_back(server.caller_address);
        }
      }
      streams.push_back(std::move(stream));
    }
    LoadGenerator load(std::move(streams), 48, 7);
    load.Start();
    std::this_thread::sleep_for(milliseconds(700));
    fault();
    std::this_thread::sleep_for(milliseconds(900));
    end();
    std::this_thread::sleep_for(milliseconds(600));
    const std::vector<LoadSample> samples = load.Stop();
    std::uint64_t answered = 0;
    for (const LoadSample& sample : samples) {
      if (sample.status == 200) ++answered;
    }
    EXPECT_GT(answered, samples.size() / 4) << "of " << samples.size();
    // Bodies that echo or repeat the id are checked; a body that was sent
    // comes back as it is.
    std::vector<LoadSample> judged = samples;
    if (step.body > 0) {
      for (LoadSample& sample : judged) sample.own_answer = true;
    }
    ExpectPromises(judged);
  }

  void RunAllSteps(const Fault& fault, const Fault& end) {
    for (const CallStep& step : kSteps) RunStep(step, fault, end);
  }

  void SetLinks(LinkFault fault) {
    for (const auto& [name, server] : fleet_->servers()) {
      for (const auto& [other_name, other] : fleet_->servers()) {
        if (server.failure_domain != other.failure_domain) {
          fleet_->relay().SetFault(server.node_ip, other.node_ip, fault);
        }
      }
    }
    // Within the north, between two nodes.
    fleet_->relay().SetFault(fleet_->servers().at("north-1").node_ip,
                             fleet_->servers().at("north-2").node_ip, fault);
  }
};

TEST_F(CallFaultTest, NodeBesideTheBackendServerIsKilled) {
  Start();
  RunAllSteps([this] { fleet_->KillNode("north-2"); },
              [this] {
                const Status started = fleet_->StartNode("north-2");
                EXPECT_TRUE(started.has_value());
              });
}

TEST_F(CallFaultTest, BackendServerIsKilled) {
  Start();
  RunAllSteps([this] { fleet_->KillBackend("north-2"); },
              [this] {
                const Status started = fleet_->StartBackend("north-2");
                EXPECT_TRUE(started.has_value());
              });
}

TEST_F(CallFaultTest, NodeFreezesAndWakes) {
  Start();
  RunAllSteps([this] { fleet_->FreezeNode("north-2"); },
              [this] { fleet_->ResumeNode("north-2"); });
}

TEST_F(CallFaultTest, LinksAreCut) {
  Start();
  RunAllSteps([this] { SetLinks(LinkFault::kDisconnected); },
              [this] { fleet_->relay().Heal(); });
}

TEST_F(CallFaultTest, OpenLinksGoSilentAndNewOnesWork) {
  Start();
  RunAllSteps([this] { SetLinks(LinkFault::kStalled); },
              [this] { fleet_->relay().Heal(); });
}

TEST_F(CallFaultTest, BackendServerTurnsColdUnannounced) {
  Start();
  RunAllSteps(
      [this] {
        HttpGet(fleet_->servers().at("north-2").backend_address, "/admin/cold");
      },
      [] {});
}

// A caller that goes away in the middle leaves nothing behind.
TEST_F(CallFaultTest, CallersGoAway) {
  Start();
  for (const CallStep& step : kSteps) {
    for (int i = 0; i < 20; ++i) {
      HttpCall call;
      call.method = step.method;
      call.path = step.path;
      call.key = Fleet::KeyForWorkspace("alpha");
      call.body = std::string(step.body, 'b');
      HttpConnection connection(fleet_->servers().at("north-1").caller_address,
                                milliseconds(15));
      connection.Call(call);  // Times out and closes.
    }
  }
  const bool idle = WaitFor(
      [this] {
        const std::string status = HttpGet(
            fleet_->servers().at("north-1").operator_address, "/status");
        return status.find("\"active_requests\": 0") != std::string::npos;
      },
      seconds(10));
  EXPECT_TRUE(idle);
  ExpectPromises({});
}

}  // namespace
}  // namespace wisteriarill
