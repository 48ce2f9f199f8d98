// The platform's store in virtual time: answers lists and watches from its
// history, and can come back from a copy of its data.
#ifndef POPLARSTAIR_TESTING_CATALOG_STORE_FAKE_H_
#define POPLARSTAIR_TESTING_CATALOG_STORE_FAKE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "poplarstair/catalog/store_call.h"

namespace poplarstair {

class catalog_store_fake {
 public:
  void Put(collection what, const std::string& name, object_content content) {
    Append(what, {name, false, std::move(content)});
  }
  void Delete(collection what, const std::string& name) {
    Append(what, {name, true, {}});
  }

  store_revision Revision() const { return revision_; }
  store_epoch Epoch() const { return epoch_; }

  store_reply List(const store_request& request) const {
    store_reply reply = Reply(request);
    for (const auto& [key, object] : objects_) {
      if (key.first == request.what) reply.objects.push_back(object);
    }
    return reply;
  }

  /// Empty if nothing has changed since the request's revision.
  store_reply Changes(const store_request& request) const {
    store_reply reply = Reply(request);
    if (request.revision > revision_) {
      reply.status = store_status::kHistoryGone;
    }
    for (const change& c : history_) {
      if (c.what == request.what && c.revision > request.revision) {
        reply.objects.push_back(c.object);
      }
    }
    return reply;
  }

  /// All that was written after `copy` is lost, and its revisions are given out
  /// again.
  void ComeBack(store_revision copy) {
    before_ = std::make_shared<catalog_store_fake>(*this);
    ++epoch_;
    revision_ = copy;
    std::erase_if(history_,
                  [copy](const change& c) { return c.revision > copy; });
    objects_.clear();
    for (const change& c : history_) Apply(c.what, c.object);
  }

  /// As it was before its last return; its answers may arrive late.
  const catalog_store_fake& Before() const {
    return before_ ? *before_ : *this;
  }

  /// Called after each change.
  std::function<void()> changed;

 private:
  struct change {
    store_revision revision;
    collection what;
    store_object object;
  };

  store_reply Reply(const store_request& request) const {
    store_reply reply;
    reply.id = request.id;
    reply.status = store_status::kOk;
    reply.revision = revision_;
    reply.epoch = epoch_;
    return reply;
  }

  void Append(collection what, const store_object& object) {
    history_.push_back({++revision_, what, object});
    store_object& written = history_.back().object;
    const auto before = objects_.find({what, object.name});
    written.revision = revision_;
    written.created =
        before == objects_.end() ? revision_ : before->second.created;
    Apply(what, written);
    if (changed) changed();
  }

  void Apply(collection what, const store_object& object) {
    const std::pair key(what, object.name);
    if (object.is_deleted) {
      objects_.erase(key);
    } else {
      objects_[key] = object;
    }
  }

  std::shared_ptr<const catalog_store_fake> before_;
  store_epoch epoch_ = 1;
  store_revision revision_ = 10;
  std::map<std::pair<collection, std::string>, store_object> objects_;
  std::vector<change> history_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_CATALOG_STORE_FAKE_H_
