#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "boost/asio/awaitable.hpp"

#include "objectstore/objectcodec.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::objectstore {

/// What the watch of one kind works with.
struct WatchTask
{
  std::string m_kind;
  std::vector<core::Endpoint> m_endpoints;
  BackoffPolicy m_backoff;
  core::Duration m_callTime{};
  core::Duration m_watchTime{};
  core::Duration m_lapseGrace{};
  /// Both are called on the control thread.
  ObjectStore::WatchCallback m_changed;
  ObjectStore::MissedCallback m_missed;
};

/// Keeps one kind up to date. Runs on one traffic loop.
class KindWatch : public std::enable_shared_from_this<KindWatch>
{
public:
  KindWatch(kernel::Context& aContext, http::Client& aClient, WatchTask aTask);

  /// Watches until the process ends.
  boost::asio::awaitable<void> Run();

  /// Lists the kind anew unless aRevision is known already.
  void Refresh(uint64_t aRevision);

private:
  using Objects = std::map<std::string, StoredObject>;

  ListRequest NextRequest() const;
  boost::asio::awaitable<absl::StatusOr<ObjectList>> Ask(ListRequest aRequest);
  boost::asio::awaitable<void> Pause();
  void OnFailure(const absl::Status& aStatus);
  /// False if the list is older than what is known.
  bool Merge(ObjectList aList);
  void KeepLapsed(const ObjectList& aList);
  void DropLapsed();
  void Announce();
  void NoteMissed(const Objects& aBefore);
  void NoteReachable(const absl::Status& aStatus);

  kernel::Context& m_context;
  http::Client& m_client;
  WatchTask m_task;
  BackoffState m_backoff;
  size_t m_endpoint = 0;
  std::optional<uint64_t> m_revision;
  Objects m_objects;
  /// Objects that lapsed during an outage, and until when they are kept.
  Objects m_lapsed;
  core::Instant m_lapsedUntil{};
  std::optional<core::Instant> m_lostAt;
  std::shared_ptr<http::CallAbort> m_abort;
  bool m_refreshing = false;
};

} // namespace heatherdeal::objectstore
