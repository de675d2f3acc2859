#include "journal.h"

#include <chrono>
#include <fstream>
#include <iomanip>

namespace wisteriarill::review {

std::string Journal::OnSend(const std::string& tenant,
                            const std::string& node) {
  RequestRecord record;
  record.id = "r-" + std::to_string(records_.size());
  record.tenant = tenant;
  record.node = node;
  record.sent = BootClock::now();
  index_[record.id] = records_.size();
  records_.push_back(record);
  return record.id;
}

void Journal::OnAnswer(const std::string& id, int status) {
  RequestRecord& record = records_.at(index_.at(id));
  record.status = status;
  record.answered = BootClock::now();
}

void Journal::OnRun(const std::string& id, const std::string& server) {
  const auto found = index_.find(id);
  if (found == index_.end()) return;
  RequestRecord& record = records_[found->second];
  record.runs.push_back(BootClock::now());
  record.server = server;
}

double Journal::SecondsAt(Instant at) const {
  return std::chrono::duration<double>(at - start_).count();
}

void Journal::Write(const std::string& path, const std::string& summary) const {
  std::ofstream file(path);
  file << summary << "\nid tenant node sent_s status answered_s runs\n"
       << std::fixed << std::setprecision(3);
  for (const RequestRecord& record : records_) {
    file << record.id << ' ' << record.tenant << ' ' << record.node << ' '
         << SecondsAt(record.sent) << ' ' << record.status << ' ';
    if (record.answered == kNever) {
      file << '-';
    } else {
      file << SecondsAt(record.answered);
    }
    for (const Instant run : record.runs) {
      file << ' ' << SecondsAt(run) << '@' << record.server;
    }
    file << '\n';
  }
}

}  // namespace wisteriarill::review
