/// \file
/// Strongly typed identifiers. Ids of different types neither compare with nor
/// convert to each other.
#ifndef WISTERIARILL_PROCESS_IDS_H_
#define WISTERIARILL_PROCESS_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace wisteriarill {

/// A number that identifies an object. `Tag` makes the type of each kind of
/// object distinct.
template <typename Tag, typename Rep>
struct TypedId {
  Rep value{};
  friend auto operator<=>(const TypedId&, const TypedId&) = default;
};

/// Identifies one run of a process. It is random, so a restarted process is a
/// new instance.
using InstanceId = TypedId<struct InstanceTag, std::uint64_t>;
/// Index of a service in a Snapshot.
using ServiceId = TypedId<struct ServiceTag, std::uint32_t>;
/// Index of a workspace in a Snapshot.
using WorkspaceId = TypedId<struct WorkspaceTag, std::uint32_t>;
/// Index of a failure domain in a Snapshot.
using FailureDomainId = TypedId<struct FailureDomainTag, std::uint32_t>;
/// Index of a backend server in a Snapshot. The node beside the backend server
/// has the same index.
using ServerId = TypedId<struct ServerTag, std::uint32_t>;
/// Identifies one connection to a peer; unique within a process.
using LinkId = TypedId<struct LinkTag, std::uint64_t>;

/// Identifies an attempt of a call on all nodes: the instance of its ingress
/// and a sequence number that this instance assigned.
struct RequestId {
  InstanceId ingress;
  std::uint64_t sequence = 0;
  friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

/// Returns `id` as "ingress-sequence" in hexadecimal, the form of the
/// Wisteria-Request-Id header.
std::string ToString(const RequestId& id);

/// Parses the form that ToString() returns; returns false for any other text.
bool ParseRequestId(const std::string& text, RequestId* id);

/// Returns a new instance id from the operating system's random source.
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
