#include "wisteriarill/version/release.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/version/manifest_history.h"
#include "wisteriarill/version/version_store.h"

namespace wisteriarill {
namespace {

Deployment MakeDeployment(std::uint64_t number, int workspaces) {
  std::vector<WorkspaceSpec> specs;
  for (int i = 0; i < workspaces; ++i) {
    specs.push_back(MakeModelWorkspace("w" + std::to_string(i), 10, 10));
  }
  return MakeModelDeployment(number, 2, 3, specs);
}

TEST(ReleaseTest, PackingTwiceGivesTheSameBytes) {
  const Release first = PackDeployment(MakeDeployment(1, 4)).value();
  const Release second = PackDeployment(MakeDeployment(1, 4)).value();
  EXPECT_EQ(first.manifest, second.manifest);
  EXPECT_EQ(first.chunks, second.chunks);
}

TEST(ReleaseTest, UnpackingInvertsPacking) {
  const Release release = PackDeployment(MakeDeployment(7, 4)).value();
  const Manifest manifest = DecodeManifest(release.manifest).value();
  const Deployment unpacked =
      UnpackDeployment(manifest, release.chunks).value();
  EXPECT_EQ(PackDeployment(unpacked).value().manifest, release.manifest);
}

TEST(ReleaseTest, ChangingAWorkspaceChangesOnlyItsChunk) {
  const Release before = PackDeployment(MakeDeployment(1, 50)).value();
  Deployment changed = MakeDeployment(2, 50);
  changed.workspaces[7].rate += 1;
  const Release after = PackDeployment(changed).value();
  int new_chunks = 0;
  for (const auto& [digest, bytes] : after.chunks) {
    if (before.chunks.count(digest) == 0) ++new_chunks;
  }
  EXPECT_EQ(new_chunks, 1);
}

TEST(ReleaseTest, RejectsAMissingChunk) {
  Release release = PackDeployment(MakeDeployment(1, 2)).value();
  const Manifest manifest = DecodeManifest(release.manifest).value();
  release.chunks.erase(release.chunks.begin());
  EXPECT_FALSE(UnpackDeployment(manifest, release.chunks).has_value());
}

RC_GTEST_PROP(ReleaseProperty, DecodingArbitraryBytesDoesNotCrash,
              (const std::string& bytes)) {
  const Result<Manifest> manifest = DecodeManifest(bytes);
  if (!manifest) RC_ASSERT(!manifest.error().remedy.empty());
}

RC_GTEST_PROP(ReleaseProperty, TruncatedOrAlteredManifestIsRejectedOrWellFormed,
              ()) {
  std::string bytes = PackDeployment(MakeDeployment(3, 3)).value().manifest;
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  if (*rc::gen::arbitrary<bool>()) {
    bytes.resize(at);
  } else {
    bytes[at] = static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
  }
  const Result<Manifest> manifest = DecodeManifest(bytes);
  if (manifest) {
    for (const ManifestEntry& entry : manifest.value().entries) {
      RC_ASSERT(entry.digest.size() == kDigestSize);
    }
  }
}

RC_GTEST_PROP(ManifestHistoryProperty, PatchingTheDiffGivesTheTarget,
              (const std::map<std::string, bool>& before,
               const std::map<std::string, bool>& after)) {
  const auto make = [](std::uint64_t number, const auto& names) {
    Manifest manifest{number, {}};
    for (const auto& [name, flag] : names) {
      manifest.entries.push_back(
          {ChunkKind::kService, name, Sha256(flag ? "a" : "b")});
    }
    return manifest;
  };
  const Manifest base = make(1, before);
  const Manifest target = make(2, after);
  const Manifest patched = PatchManifest(base, 2, DiffManifests(base, target));
  RC_ASSERT(EncodeManifest(patched) == EncodeManifest(target));
}

class VersionStoreTest : public testing::Test {
 protected:
  OfferResult Offer(std::uint64_t number, std::uint64_t revision,
                    const Deployment& deployment) {
    const Release release = PackDeployment(deployment).value();
    OfferResult result =
        store_.OfferManifest({number, revision}, release.manifest);
    if (result != OfferResult::kChunksMissing) return result;
    for (const auto& [digest, bytes] : release.chunks) {
      const OfferResult chunk = store_.OfferChunk(bytes);
      if (chunk != OfferResult::kIgnored) result = chunk;
    }
    return result;
  }

  VersionStore store_;
};

TEST_F(VersionStoreTest, NeverMovesBack) {
  EXPECT_EQ(Offer(2, 1, MakeDeployment(2, 1)), OfferResult::kApplied);
  EXPECT_EQ(Offer(1, 2, MakeDeployment(1, 1)), OfferResult::kIgnored);
  EXPECT_EQ(store_.version(), (Version{2, 1}));
}

TEST_F(VersionStoreTest, AppliesAHigherRevisionOfTheSameNumber) {
  EXPECT_EQ(Offer(2, 1, MakeDeployment(2, 1)), OfferResult::kApplied);
  EXPECT_EQ(Offer(2, 2, MakeDeployment(2, 3)), OfferResult::kApplied);
  EXPECT_EQ(store_.current()->workspaces().size(), 3U);
}

TEST_F(VersionStoreTest, ABadVersionLeavesTheLastGoodOne) {
  EXPECT_EQ(Offer(1, 1, MakeDeployment(1, 1)), OfferResult::kApplied);
  Deployment invalid = MakeDeployment(2, 2);
  invalid.routes.front().service = "missing";
  EXPECT_EQ(Offer(2, 2, invalid), OfferResult::kRejected);
  EXPECT_EQ(store_.version(), (Version{1, 1}));
  ASSERT_TRUE(store_.rejected().has_value());
  EXPECT_NE(store_.rejected()->reason.find("missing"), std::string::npos);
  EXPECT_EQ(Offer(3, 3, MakeDeployment(3, 2)), OfferResult::kApplied);
}

TEST_F(VersionStoreTest, RecordsAPeersRejectionAndStillValidates) {
  EXPECT_EQ(Offer(1, 1, MakeDeployment(1, 1)), OfferResult::kApplied);
  store_.RecordPeerRejection({2, 2}, "told");
  ASSERT_TRUE(store_.rejected().has_value());
  EXPECT_EQ(store_.rejected()->reason, "told");
  EXPECT_EQ(Offer(2, 2, MakeDeployment(2, 2)), OfferResult::kApplied);
}

TEST_F(VersionStoreTest, APartOfAVersionIsNeverInForce) {
  ASSERT_EQ(Offer(1, 1, MakeDeployment(1, 1)), OfferResult::kApplied);
  const Release release = PackDeployment(MakeDeployment(2, 5)).value();
  ASSERT_EQ(store_.OfferManifest({2, 2}, release.manifest),
            OfferResult::kChunksMissing);
  std::size_t missing_count = store_.missing().size();
  for (const auto& [digest, bytes] : release.chunks) {
    EXPECT_EQ(store_.version(), (Version{1, 1}));
    if (store_.OfferChunk(bytes) != OfferResult::kIgnored) --missing_count;
  }
  EXPECT_EQ(missing_count, 0U);
  EXPECT_EQ(store_.version(), (Version{2, 2}));
}

TEST_F(VersionStoreTest, IgnoresAnAlteredChunk) {
  const Release release = PackDeployment(MakeDeployment(1, 1)).value();
  ASSERT_EQ(store_.OfferManifest({1, 1}, release.manifest),
            OfferResult::kChunksMissing);
  std::string altered = release.chunks.begin()->second;
  altered.back() = static_cast<char>(altered.back() + 1);
  EXPECT_EQ(store_.OfferChunk(altered), OfferResult::kIgnored);
  EXPECT_EQ(store_.current(), nullptr);
}

}  // namespace
}  // namespace wisteriarill
