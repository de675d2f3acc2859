#include "trials.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <thread>

namespace wisteriarill::review {
namespace {

using std::chrono::seconds;

/// "Touch" and "Config" of the site.
constexpr milliseconds kTouch{3000};
constexpr milliseconds kConfig{2000};
/// Added to a bound before a check begins.
constexpr milliseconds kCheckMargin{100};
constexpr const char* kKeptKey = "3fexd9dnn2ctnfzs989a";
constexpr const char* kWithdrawnKey = "nu6wsjnbanfqasnmgkcu";
constexpr int kIdleRoutes = 300;

void Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

std::string ZoneName(int number) {
  static const std::vector<std::string> kZones = {"brest", "rennes", "lannion",
                                                  "vannes"};
  return kZones[static_cast<std::size_t>(number) % kZones.size()];
}

/// Adds routes that nobody uses, as a site has them.
void AddIdleRoutes(ConfigSpec* config) {
  std::uint32_t state = 1;
  for (int i = 0; i < kIdleRoutes; ++i) {
    state = state * 1664525U + 1013904223U;
    char name[16];
    std::snprintf(name, sizeof name, "%08x", state);
    RouteSpec route;
    route.name = std::string("r-") + name;
    route.prefix = std::string("/") + name + "/";
    route.service = config->services.front();
    config->routes.push_back(route);
  }
}

ConfigSpec MakeConfig() {
  ConfigSpec config;
  config.version = 7;
  config.services = {"booking"};
  RouteSpec route;
  route.name = "r-avail-check";
  route.prefix = "/lohu930/";
  route.service = "booking";
  config.routes = {route};
  AddIdleRoutes(&config);
  config.tenants = {{"hule930", {kKeptKey, kWithdrawnKey}}};
  return config;
}

/// The next version, without kWithdrawnKey.
ConfigSpec WithoutKey(ConfigSpec config) {
  config.version += 2;
  config.tenants = {{"hule930", {kKeptKey}}};
  return config;
}

Request MakeLookup(const std::string& key) {
  Request request;
  request.target = "/lohu930/2f";
  request.key = key;
  return request;
}

/// Runs `task` on `count` threads at once.
void RunAtOnce(int count, const std::function<void(int)>& task) {
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    threads.emplace_back([&task, i] { task(i); });
  }
  for (std::thread& thread : threads) thread.join();
}

/// Callers who send a few requests to each node until the end.
class LightLoad {
 public:
  explicit LightLoad(Mesh* mesh) {
    for (const auto& node : mesh->nodes()) {
      threads_.emplace_back([this, mesh, &node] { SendRequests(mesh, *node); });
    }
  }
  ~LightLoad() {
    stopped_ = true;
    for (std::thread& thread : threads_) thread.join();
  }
  LightLoad(const LightLoad&) = delete;
  LightLoad& operator=(const LightLoad&) = delete;

 private:
  void SendRequests(Mesh* mesh, const Node& node) {
    constexpr milliseconds kPause{200};
    while (!stopped_) {
      std::string id;
      mesh->Send(node, MakeLookup(kKeptKey), &id);
      Sleep(kPause);
    }
  }

  std::atomic<bool> stopped_{false};
  std::vector<std::thread> threads_;
};

/// Sends requests with the withdrawn key to `node` for `period`, and returns
/// how many of them a server ran.
int CountRunsWithWithdrawnKey(Mesh* mesh, const Node& node, milliseconds period,
                              Record* record) {
  constexpr milliseconds kPause{100};
  int runs = 0;
  const auto end = Clock::now() + period;
  while (Clock::now() < end) {
    std::string id;
    mesh->Send(node, MakeLookup(kWithdrawnKey), &id);
    if (mesh->FindRun(id)) {
      ++runs;
      record->Write("broken: " + id + " ran with the withdrawn key");
    }
    Sleep(kPause);
  }
  return runs;
}

}  // namespace

bool RunSilentConnections(Mesh* mesh, Record* record, bool trouble) {
  constexpr int kNodes = 8;
  constexpr int kCallersPerNode = 30;
  constexpr milliseconds kCheckPeriod{3000};
  constexpr milliseconds kQuiet{500};
  NodeOptions options;
  options.service = "booking";
  options.relay_peers = true;
  options.backend.work = milliseconds(150);
  for (int i = 0; i < kNodes; ++i) {
    options.zone = ZoneName(i);
    mesh->StartNode(mesh->AddNode(options));
  }
  const ConfigSpec config = MakeConfig();
  mesh->Publish(config);
  mesh->WaitUntilReady();
  Sleep(seconds(5));
  for (const auto& node : mesh->nodes()) {
    RunAtOnce(kCallersPerNode, [&](int) {
      std::string id;
      mesh->Send(*node, MakeLookup(kKeptKey), &id);
    });
  }
  const LightLoad light_load(mesh);
  Sleep(kQuiet);
  if (trouble) {
    record->Write("silence: the open connections between nodes");
    for (const auto& node : mesh->nodes())
      node->peer_relay.SilenceOpenConnections();
  }
  Sleep(kTouch + kCheckMargin);
  mesh->Publish(WithoutKey(config));
  Sleep(kConfig + kCheckMargin);
  std::atomic<int> runs{0};
  RunAtOnce(kNodes, [&](int i) {
    runs += CountRunsWithWithdrawnKey(
        mesh, *mesh->nodes()[static_cast<std::size_t>(i)], kCheckPeriod,
        record);
  });
  return runs == 0;
}

bool RunStalePages(Mesh* mesh, Record* record, bool trouble) {
  constexpr int kNodes = 20;
  constexpr int kOtherItems = 520;
  constexpr std::size_t kKilled =
      11;  // herd_kill: a share of 0.55 of the nodes
  constexpr milliseconds kStaleLag{3000};
  constexpr milliseconds kDownTime{500};
  constexpr milliseconds kCheckPeriod{3000};
  for (int i = 0; i < kOtherItems; ++i) {
    char key[16];
    std::snprintf(key, sizeof key, "app/%04d", i);
    mesh->store().Put(key, "{}");
  }
  NodeOptions options;
  options.service = "booking";
  for (int i = 0; i < kNodes; ++i) {
    options.zone = ZoneName(i);
    mesh->StartNode(mesh->AddNode(options));
  }
  const ConfigSpec config = MakeConfig();
  mesh->Publish(config);
  mesh->WaitUntilReady();
  Sleep(seconds(10));
  std::vector<Node*> killed;
  for (const auto& node : mesh->nodes()) {
    const bool watches = mesh->store().HasWatched(node->name, seconds(5));
    if (!watches && killed.size() < kKilled) killed.push_back(node.get());
  }
  mesh->store().SetStaleLag(kStaleLag);
  mesh->Publish(WithoutKey(config));
  if (trouble) {
    for (Node* node : killed) mesh->KillNode(node);
    Sleep(kDownTime);
    for (Node* node : killed) mesh->StartNode(node);
  }
  Sleep(std::max(kTouch, kConfig) + seconds(1));
  std::atomic<int> runs{0};
  RunAtOnce(static_cast<int>(killed.size()), [&](int i) {
    runs += CountRunsWithWithdrawnKey(
        mesh, *killed[static_cast<std::size_t>(i)], kCheckPeriod, record);
  });
  return runs == 0;
}

bool RunStalledAnswer(Mesh* mesh, Record* record, bool trouble) {
  constexpr int kNodes = 4;
  // garble, how = "": a share of up to 0.35 of the servers, up to 0.02 of their
  // answers, for up to 5.7 s. Here it is one server of four.
  constexpr unsigned kTruncatedEvery = 50;
  constexpr milliseconds kFaultyTime{5500};
  constexpr int kCallersPerNode = 8;
  constexpr int kRequestsPerCaller = 100;
  constexpr milliseconds kTimeout{1200};
  constexpr milliseconds kAnswerSlack{500};
  constexpr int kFewRequests = 8;
  NodeOptions options;
  options.service = "booking";
  options.backend.response_bytes = 40000;
  options.backend.truncated_every = kTruncatedEvery;
  for (int i = 0; i < kNodes; ++i) {
    options.zone = ZoneName(i);
    mesh->StartNode(mesh->AddNode(options));
  }
  ConfigSpec config = MakeConfig();
  config.routes.front().timeout = kTimeout;
  mesh->Publish(config);
  mesh->WaitUntilReady();
  Sleep(kTouch);
  Backend* const faulty = mesh->nodes().front()->backend.get();
  faulty->SetTruncating(trouble);
  std::thread recovery([faulty] {
    Sleep(kFaultyTime);
    faulty->SetTruncating(false);
  });
  std::atomic<int> unanswered{0};
  std::atomic<int> late{0};
  RunAtOnce(kNodes * kCallersPerNode, [&](int caller) {
    const auto& node = mesh->nodes()[static_cast<std::size_t>(caller % kNodes)];
    for (int i = 0; i < kRequestsPerCaller; ++i) {
      std::string id;
      const Response response = mesh->Send(*node, MakeLookup(kKeptKey), &id);
      if (response.elapsed <= kTimeout) continue;
      ++unanswered;
      if (response.elapsed <= kTimeout + kAnswerSlack) continue;
      ++late;
      record->Write("late: " + id);
    }
  });
  recovery.join();
  record->Write("unanswered at the timeout: " + std::to_string(unanswered) +
                ", of these without an answer half a second later: " +
                std::to_string(late));
  const bool over_half = late * 2 > unanswered;
  const bool over_quarter = late >= kFewRequests && late * 4 > unanswered;
  return !over_half && !over_quarter;
}

/// Returns the largest number of runs of `workspace` that began within
/// `window`.
int MostRunsInWindow(Mesh* mesh, const std::string& workspace,
                     milliseconds window) {
  std::vector<Clock::time_point> times;
  for (const auto& node : mesh->nodes()) {
    for (const Run& run : node->backend->Runs()) {
      if (run.workspace == workspace) times.push_back(run.began);
    }
  }
  std::sort(times.begin(), times.end());
  int most = 0;
  for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) ++first;
    most = std::max(most, static_cast<int>(last - first + 1));
  }
  return most;
}

bool RunServiceRemoved(Mesh* mesh, Record* record, bool trouble) {
  constexpr int kBookingNodes = 9;
  constexpr int kDepotNodes = 4;
  constexpr int kTenants = 8;
  constexpr unsigned kRate = 20;
  constexpr unsigned kBurst = 20;
  constexpr milliseconds kQuotaWindow{5000};
  constexpr double kQuotaOver = 0.25;
  constexpr double kQuotaSlack = 20;
  constexpr milliseconds kPause{100};
  constexpr milliseconds kPeriod{9000};
  NodeOptions options;
  for (int i = 0; i < kBookingNodes + kDepotNodes; ++i) {
    options.service = i < kBookingNodes ? "booking" : "depot";
    options.zone = ZoneName(i);
    options.backend.work = milliseconds(20);
    mesh->StartNode(mesh->AddNode(options));
  }
  ConfigSpec config = MakeConfig();
  config.tenants.clear();
  for (int i = 0; i < kTenants; ++i) {
    const std::string number = std::to_string(i);
    config.tenants.push_back(
        {"hule93" + number, {"3fexd9dnn2ctnfzs98" + number}, kRate, kBurst});
  }
  ConfigSpec with_depot = config;
  with_depot.services.push_back("depot");
  mesh->Publish(with_depot);
  mesh->WaitUntilReady();
  Sleep(kTouch);
  if (trouble) {
    config.version += 2;
    mesh->Publish(config);
  }
  Sleep(kTouch + kConfig);
  // One caller for each tenant at each node.
  RunAtOnce(kTenants * (kBookingNodes + kDepotNodes), [&](int caller) {
    const auto tenant = static_cast<std::size_t>(caller % kTenants);
    const auto node = static_cast<std::size_t>(caller / kTenants);
    const auto end = Clock::now() + kPeriod;
    while (Clock::now() < end) {
      std::string id;
      mesh->Send(*mesh->nodes()[node],
                 MakeLookup(config.tenants[tenant].keys.front()), &id);
      Sleep(kPause);
    }
  });
  const double allowed =
      (kRate * std::chrono::duration<double>(kQuotaWindow).count() + kBurst) *
          (1 + kQuotaOver) +
      kQuotaSlack;
  bool held = true;
  for (const TenantSpec& tenant : config.tenants) {
    const int most = MostRunsInWindow(mesh, tenant.name, kQuotaWindow);
    record->Write("tenant " + tenant.name + ": at most " +
                  std::to_string(most) + " runs in a window, allowed " +
                  std::to_string(static_cast<int>(allowed)));
    held = held && most <= allowed;
  }
  return held;
}

bool RunLongHead(Mesh* mesh, Record* record, bool trouble) {
  constexpr int kNodes = 4;
  constexpr int kRequests = 40;
  constexpr int kMaxDenied = 5;
  constexpr milliseconds kEvac{5000};
  constexpr std::size_t kHeadBytes = 16300;  // "MaxHeaderBytes" is 16384.
  NodeOptions options;
  options.service = "booking";
  for (int i = 0; i < kNodes; ++i) {
    options.zone = ZoneName(i);
    mesh->StartNode(mesh->AddNode(options));
  }
  mesh->Publish(MakeConfig());
  mesh->WaitUntilReady();
  Sleep(kTouch);
  if (trouble) {
    mesh->store().Put("op/evacuate/" + ZoneName(0), "\x80");
    record->Write("acknowledged: evacuation of " + ZoneName(0));
  }
  Sleep(kEvac);
  int denied = 0;
  for (int i = 0; i < kRequests; ++i) {
    Request request = MakeLookup(kKeptKey);
    request.head_bytes = kHeadBytes;
    std::string id;
    const Response response = mesh->Send(*mesh->nodes().front(), request, &id);
    const bool is_denial = response.status >= 300 && response.status < 500;
    if (is_denial && response.signature.empty()) ++denied;
  }
  record->Write("denied: " + std::to_string(denied));
  return denied <= kMaxDenied;
}

bool RunPeerPath(Mesh* mesh, Record* record, bool trouble) {
  constexpr int kNodes = 4;
  constexpr int kRequests = 10;
  NodeOptions options;
  for (int i = 0; i < kNodes; ++i) {
    options.service = i < kNodes / 2 ? "booking" : "depot";
    options.zone = ZoneName(i);
    mesh->StartNode(mesh->AddNode(options));
  }
  ConfigSpec config = MakeConfig();
  config.services.push_back("depot");
  mesh->Publish(config);
  mesh->WaitUntilReady();
  if (trouble) {
    RouteSpec route;
    route.name = "r-mirror";
    route.prefix = "/wisteria/";
    route.service = "depot";
    route.kind = "non_idempotent";
    config.version += 2;
    config.routes.push_back(route);
    mesh->Publish(config);
  }
  Sleep(kConfig + kTouch);
  int broken = 0;
  for (int i = 0; i < kRequests; ++i) {
    Request request;
    request.method = "POST";
    request.target = "/wisteria/mirror/" + std::to_string(i);
    request.key = kKeptKey;
    request.body = "order";
    std::string id;
    const Response response = mesh->Send(*mesh->nodes().front(), request, &id);
    const bool success = response.status >= 200 && response.status < 300;
    if (!success || !response.signature.empty()) continue;
    ++broken;
    record->Write("broken: " + id + " got a success without a signature, and " +
                  (mesh->FindRun(id) ? "ran" : "did not run"));
  }
  return broken == 0;
}

}  // namespace wisteriarill::review
