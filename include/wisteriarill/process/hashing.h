/// \file
/// Cryptographic digests, hexadecimal encoding, and rendezvous hashing.
#ifndef WISTERIARILL_PROCESS_HASHING_H_
#define WISTERIARILL_PROCESS_HASHING_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriarill {

/// Size of a SHA-256 digest in bytes.
inline constexpr std::size_t kDigestSize = 32;

/// Returns the SHA-256 digest of `bytes` as kDigestSize raw bytes.
std::string Sha256(std::string_view bytes);

/// Returns `bytes` in lower-case hexadecimal.
std::string ToHex(std::string_view bytes);

/// Decodes lower-case hexadecimal into `bytes`; returns false if `hex` has an
/// odd length or any other character.
bool FromHex(std::string_view hex, std::string* bytes);

/// Compares in time that depends only on the lengths, so that timing reveals
/// nothing about the content of a key.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// Returns a 64-bit hash (XXH64) of `bytes` that is equal on all nodes. It is
/// not cryptographic.
std::uint64_t Hash64(std::string_view bytes);

/// Returns the rendezvous hashing score of `member` for `key`, both hashed with
/// Hash64(). The members with the highest scores own the key. Adding or
/// removing a member moves only the keys that this member owns.
constexpr std::uint64_t RendezvousScore(std::uint64_t key,
                                        std::uint64_t member) {
  std::uint64_t mixed = key ^ (member * 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_HASHING_H_
