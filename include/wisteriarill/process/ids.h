/// \file
/// Typed identifiers. Two ids of different kinds never compare or convert.
#ifndef WISTERIARILL_PROCESS_IDS_H_
#define WISTERIARILL_PROCESS_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace wisteriarill {

/// A number that names one kind of object. `Tag` keeps kinds apart.
template <typename Tag, typename Rep>
struct TypedId {
  Rep value{};
  friend auto operator<=>(const TypedId&, const TypedId&) = default;
};

/// One life of one process; random, so that a restart is a new instance.
using InstanceId = TypedId<struct InstanceTag, std::uint64_t>;
/// Index of a service in a Snapshot.
using ServiceId = TypedId<struct ServiceTag, std::uint32_t>;
/// Index of a workspace in a Snapshot.
using WorkspaceId = TypedId<struct WorkspaceTag, std::uint32_t>;
/// Index of a failure domain in a Snapshot.
using FailureDomainId = TypedId<struct FailureDomainTag, std::uint32_t>;
/// Index of a backend server in a Snapshot; its node has the same index.
using ServerId = TypedId<struct ServerTag, std::uint32_t>;
/// One connection to a peer, unique within a process.
using LinkId = TypedId<struct LinkTag, std::uint64_t>;

/// Names a call everywhere: the ingress instance and its sequence number.
struct RequestId {
  InstanceId ingress;
  std::uint64_t sequence = 0;
  friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

/// Returns `id` as "ingress-sequence" in hexadecimal, as callers see it.
std::string ToString(const RequestId& id);

/// Parses ToString's form; returns false when `text` has another form.
bool ParseRequestId(const std::string& text, RequestId* id);

/// Draws a new random instance id from the operating system.
InstanceId GenerateInstanceId();

}  // namespace wisteriarill

template <typename Tag, typename Rep>
struct std::hash<wisteriarill::TypedId<Tag, Rep>> {
  std::size_t operator()(const wisteriarill::TypedId<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.value);
  }
};

template <>
struct std::hash<wisteriarill::RequestId> {
  std::size_t operator()(const wisteriarill::RequestId& id) const {
    return id.ingress.value ^ (id.sequence * 0x9e3779b97f4a7c15ULL);
  }
};

#endif  // WISTERIARILL_PROCESS_IDS_H_
