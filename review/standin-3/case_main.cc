#include "case_main.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>

namespace wisteriarill::review {

int RunCase(int argc, char** argv, CaseFunction run) {
  constexpr int kArguments = 5;
  if (argc != kArguments) {
    std::cerr << "usage: " << argv[0] << " FOLDER WORKDIR PROGRAM UPSTREAM\n";
    return kExitNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  Case test;
  test.folder = argv[1];
  test.with_trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  test.record = std::make_unique<Record>(test.folder + "/record.txt");
  MeshOptions options;
  options.directory = argv[2];
  options.program = argv[3];
  options.upstream = argv[4];
  test.mesh = std::make_unique<Mesh>(options, test.record.get());
  test.record->Say(test.with_trouble ? "with the disruption"
                                     : "without the disruption");
  const int code = run(&test);
  for (auto& machine : test.mesh->machines()) {
    machine->node.End();
    machine->upstream.End();
  }
  std::cout.flush();
  // Threads of the stand-ins still run, so nothing is destroyed.
  test.record->Flush();
  std::_Exit(code);
}

int Conclude(Case* test, bool broken, const std::string& finding) {
  test->record->Say((broken ? "BROKEN: " : "held: ") + finding);
  return broken ? kExitBroken : kExitHeld;
}

}  // namespace wisteriarill::review
