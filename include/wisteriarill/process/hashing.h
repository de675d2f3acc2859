/// \file
/// Content digests and rendezvous hashing.
#ifndef WISTERIARILL_PROCESS_HASHING_H_
#define WISTERIARILL_PROCESS_HASHING_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriarill {

/// Bytes in a SHA-256 digest.
inline constexpr std::size_t kDigestSize = 32;

/// Returns the SHA-256 digest of `bytes` as kDigestSize raw bytes.
std::string Sha256(std::string_view bytes);

/// Returns `bytes` in lower-case hexadecimal.
std::string ToHex(std::string_view bytes);

/// Decodes lower-case hexadecimal; returns false on any other text.
bool FromHex(std::string_view hex, std::string* bytes);

/// Compares without an early exit, so that timing tells nothing of a key.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// Returns a stable 64-bit hash of `bytes`.
std::uint64_t Hash64(std::string_view bytes);

/// Returns the rendezvous score of a member for a key, both given by Hash64;
/// the members with the highest scores own the key, and a change of one member
/// moves only its keys.
constexpr std::uint64_t RendezvousScore(std::uint64_t key,
                                        std::uint64_t member) {
  std::uint64_t mixed = key ^ (member * 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_HASHING_H_
