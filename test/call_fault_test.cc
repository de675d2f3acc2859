/// \file
/// Injects every kind of fault at every step of a call, and checks the results
/// against the execution logs of the backend servers: no request id runs twice,
/// no call reported as not run did run, and no response is truncated or belongs
/// to another call.
#include <csignal>
#include <thread>

#include "fleet_fixture.h"

namespace wisteriarill {
namespace {

/// The step that most calls are at when the fault is injected.
struct CallStep {
  const char* name;
  const char* path;
  const char* method;
  std::size_t body_size;
};

// Service time, response size and request body size determine the step at which
// a call spends most of its time.
constexpr CallStep kSteps[] = {
    {"queued and sent", "/x?work_ms=60", "POST", 0},
    {"running", "/x?work_ms=400", "POST", 0},
    {"middle of the response body", "/x?work_ms=5&bytes=3000000", "GET", 0},
    {"middle of a chunked response body", "/x?bytes=3000000&chunked=1", "POST",
     0},
    {"middle of the request body", "/x?work_ms=20", "POST", 400'000},
};

class CallFaultTest : public FleetTest {
 protected:
  using Action = std::function<void()>;

  void Start() {
    FleetOptions options;
    options.deployment = SmallDeployment();
    options.relays = true;
    StartFleet(std::move(options));
  }

  // Sends calls at `step` to the nodes in the north, and meanwhile injects a
  // fault with `inject` and removes it with `remove`.
  void RunStep(const CallStep& step, const Action& inject,
               const Action& remove) {
    SCOPED_TRACE(step.name);
    std::vector<LoadStream> streams;
    for (const char* workspace : {"alpha", "beta"}) {
      LoadStream stream;
      stream.workspace = workspace;
      stream.rate =
          step.body_size > 0 || std::string(step.path).size() > 16 ? 25 : 60;
      stream.call.method = step.method;
      stream.call.path = step.path;
      stream.call.key = Fleet::KeyForWorkspace(workspace);
      stream.call.body = std::string(step.body_size, 'b');
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
    inject();
    std::this_thread::sleep_for(milliseconds(900));
    remove();
    std::this_thread::sleep_for(milliseconds(600));
    const std::vector<LoadSample> samples = load.Stop();
    std::uint64_t succeeded = 0;
    for (const LoadSample& sample : samples) {
      if (sample.status == 200) ++succeeded;
    }
    EXPECT_GT(succeeded, samples.size() / 4) << "of " << samples.size();
    // A response to a request with a body echoes that body, which has no
    // request id to compare.
    std::vector<LoadSample> checked = samples;
    if (step.body_size > 0) {
      for (LoadSample& sample : checked) sample.body_has_request_id = true;
    }
    ExpectGuarantees(checked);
  }

  void RunAllSteps(const Action& inject, const Action& remove) {
    for (const CallStep& step : kSteps) RunStep(step, inject, remove);
  }

  void SetLinkFaults(LinkFault fault) {
    for (const auto& [name, server] : fleet_->servers()) {
      for (const auto& [other_name, other] : fleet_->servers()) {
        if (server.failure_domain != other.failure_domain) {
          fleet_->relay().SetFault(server.node_ip, other.node_ip, fault);
        }
      }
    }
    // And between two nodes of the north.
    fleet_->relay().SetFault(fleet_->servers().at("north-1").node_ip,
                             fleet_->servers().at("north-2").node_ip, fault);
  }
};

TEST_F(CallFaultTest, ServingNodeIsKilled) {
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

TEST_F(CallFaultTest, NodeIsSuspendedAndResumed) {
  Start();
  RunAllSteps([this] { fleet_->FreezeNode("north-2"); },
              [this] { fleet_->ResumeNode("north-2"); });
}

TEST_F(CallFaultTest, LinksAreDisconnected) {
  Start();
  RunAllSteps([this] { SetLinkFaults(LinkFault::kDisconnected); },
              [this] { fleet_->relay().Heal(); });
}

TEST_F(CallFaultTest, OpenLinksStallAndNewOnesWork) {
  Start();
  RunAllSteps([this] { SetLinkFaults(LinkFault::kStalled); },
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

// A node must not keep the state of a call whose caller disconnects before the
// response.
TEST_F(CallFaultTest, CallersDisconnect) {
  Start();
  for (const CallStep& step : kSteps) {
    for (int i = 0; i < 20; ++i) {
      HttpCall call;
      call.method = step.method;
      call.path = step.path;
      call.key = Fleet::KeyForWorkspace("alpha");
      call.body = std::string(step.body_size, 'b');
      HttpConnection connection(fleet_->servers().at("north-1").caller_address,
                                milliseconds(15));
      connection.Call(call);  // Times out and closes the connection.
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
  ExpectGuarantees({});
}

}  // namespace
}  // namespace wisteriarill
