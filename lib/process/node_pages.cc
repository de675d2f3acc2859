#include "node_pages.h"

#include <Poco/JSON/Object.h>

#include <sstream>

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

using Poco::JSON::Object;

constexpr int kIndent = 2;

std::string Render(const Object& object) {
  std::ostringstream text;
  object.stringify(text, kIndent);
  text << "\n";
  return text.str();
}

Object MakeOrderedObject() { return Object(Poco::JSON_PRESERVE_KEY_ORDER); }

// Returns the milliseconds since `at`, or JSON null if `at` is kNever.
Poco::Dynamic::Var AgeMillis(Instant at, Instant now) {
  if (at == kNever) return {};
  return static_cast<Poco::Int64>(ToMillis(now - at));
}

Object ConfigObject(const ConfigView& config, Instant now) {
  Object object = MakeOrderedObject();
  const bool has_version = config.snapshot != nullptr;
  object.set("version",
             has_version ? ToString(config.snapshot->version()) : "none");
  object.set("ready", config.ready);
  object.set("isolated", config.isolated);
  object.set("watches_platform", config.is_watcher);
  object.set("confirmed_age_ms", AgeMillis(config.confirmed_at, now));
  object.set("platform_reads", config.platform_reads);
  if (config.candidate.has_value()) {
    object.set("fetching_version", ToString(*config.candidate));
  }
  if (config.rejected.has_value()) {
    object.set("rejected_version", ToString(config.rejected->version));
    object.set("rejected_reason", config.rejected->reason);
  }
  return object;
}

Object BackendObject(const BackendStatus& backend) {
  Object object = MakeOrderedObject();
  object.set("in_flight", backend.load.in_flight);
  object.set("queued", backend.load.queued);
  object.set("limit", backend.load.limit);
  object.set("cold_starts", backend.cold_starts);
  object.set("remembered_ids", backend.remembered_ids);
  object.set("kept_answers", backend.kept_responses);
  return object;
}

Object PeersObject(const PeerTransportStats& peers) {
  Object object = MakeOrderedObject();
  object.set("links", peers.links);
  object.set("bytes_sent", peers.bytes_sent);
  object.set("bytes_received", peers.bytes_received);
  object.set("silent_links", peers.unresponsive_links);
  object.set("malformed_frames", peers.malformed_frames);
  return object;
}

}  // namespace

std::string RenderStatus(const NodeState& state, Instant now) {
  Object object = MakeOrderedObject();
  object.set("name", state.settings->name);
  object.set("failure_domain", state.settings->failure_domain);
  object.set("instance", ToString(RequestId{state.instance, 0}).substr(0, 16));
  object.set("leaving", state.leaving);
  object.set("active_requests", state.active_requests);
  object.set("invariant_violations", InvariantViolations());
  object.set("rate_parts", static_cast<Poco::UInt64>(state.owned_rate_shards));
  object.set("configuration", ConfigObject(state.config, now));
  object.set("gate", BackendObject(state.backend));
  object.set("peers", PeersObject(state.peers));
  return Render(object);
}

}  // namespace wisteriarill
