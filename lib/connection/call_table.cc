#include "wisteriarill/connection/call_table.h"

#include <vector>

namespace wisteriarill {

LinkId CallMailbox::link() const {
  const std::lock_guard lock(mutex_);
  return link_;
}

void CallMailbox::SetLink(LinkId link) {
  const std::lock_guard lock(mutex_);
  link_ = link;
}

std::shared_ptr<CallMailbox> CallTable::Add(const RequestId& id) {
  auto mailbox = std::make_shared<CallMailbox>(id);
  const std::lock_guard lock(mutex_);
  calls_[id] = mailbox;
  return mailbox;
}

void CallTable::Remove(const RequestId& id) {
  const std::lock_guard lock(mutex_);
  calls_.erase(id);
}

bool CallTable::Post(const RequestId& id, CallEvent event) {
  std::shared_ptr<CallMailbox> mailbox;
  {
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(id);
    if (found == calls_.end()) return false;
    mailbox = found->second;
  }
  return mailbox->Post(std::move(event));
}

void CallTable::OnLinkDown(LinkId link) {
  std::vector<std::shared_ptr<CallMailbox>> affected;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, mailbox] : calls_) {
      if (mailbox->link() == link) affected.push_back(mailbox);
    }
  }
  for (const auto& mailbox : affected) mailbox->Post(LinkLost{link});
}

std::size_t CallTable::size() const {
  const std::lock_guard lock(mutex_);
  return calls_.size();
}

}  // namespace wisteriarill
