/// \file
/// Runs one trial: mesh-trial NAME FOLDER. The record goes to FOLDER.
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>

#include "trials.h"

namespace wisteriarill::review {
namespace {

/// Folder for settings and logs, which is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "mesh-trial-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) CannotRun("no temporary folder");
    path_ = name;
  }
  ~TemporaryFolder() {
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(path_);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

using Trial = std::function<bool(Mesh*, Record*, bool)>;

int RunTrial(const Trial& trial, const std::string& folder) {
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string(trouble) != "0";
  auto* const record = new Record(folder + "/record.txt");
  record->Write(with_trouble ? "with the disruption"
                             : "without the disruption");
  const TemporaryFolder temporary;
  // Threads of the stand-ins use the mesh and the record until the process
  // ends, so neither is destroyed.
  auto* const mesh = new Mesh(temporary.path(), record);
  const bool held = trial(mesh, record, with_trouble);
  mesh->KillAllNodes();
  record->Write(held ? "the rule held" : "the rule was broken");
  return held ? EXIT_SUCCESS : EXIT_FAILURE;
}

int Main(int argc, char** argv) {
  const std::map<std::string, Trial> trials = {
      {"silent-connections", RunSilentConnections},
      {"stale-pages", RunStalePages},
      {"service-removed", RunServiceRemoved},
      {"long-head", RunLongHead},
      {"stalled-answer", RunStalledAnswer},
      {"peer-path", RunPeerPath}};
  const auto trial = argc == 3 ? trials.find(argv[1]) : trials.end();
  if (trial == trials.end()) CannotRun("usage: mesh-trial NAME FOLDER");
  return RunTrial(trial->second, argv[2]);
}

}  // namespace
}  // namespace wisteriarill::review

int main(int argc, char** argv) {
  const int result = wisteriarill::review::Main(argc, argv);
  std::cout.flush();
  // Threads of the stand-ins still wait for connections.
  std::_Exit(result);
}
