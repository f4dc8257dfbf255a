#include "forwarding/internal/submissions.h"

#include <algorithm>
#include <cctype>

#include "core/failure.h"
#include "kernel/reply.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::forwarding {

namespace {

constexpr size_t kMaxIdBytes = 128;
constexpr std::string_view kKind = "submissions";
constexpr std::string_view kBegun = "begun";
constexpr std::string_view kNotRun = "not-run";

using Reply = kernel::Reply<absl::Status>;

objectstore::ObjectKey
KeyOf(std::string_view aName)
{
  return { std::string(kKind), std::string(aName) };
}

absl::Status
Unavailable(std::string_view aName)
{
  return core::ToStatus(core::RecordUnavailable{ std::string(aName) });
}

absl::Status
Submitted(std::string_view aName)
{
  return core::ToStatus(
    core::AlreadySubmitted{ std::string(aName), core::Executed::Unknown });
}

/// Claims an existing record if it says that its call did not run. Control
/// thread only.
void
ClaimAgain(std::shared_ptr<objectstore::ObjectStore> aStore,
           std::string aName,
           std::shared_ptr<Reply> aReply)
{
  aStore->Read(
    KeyOf(aName),
    objectstore::CallPriority::Status,
    [aStore, aName, aReply](absl::StatusOr<objectstore::StoredObject> aFound) {
      if (!aFound.ok()) {
        aReply->Set(Unavailable(aName));
        return;
      }
      if (aFound->m_value != kNotRun) {
        aReply->Set(Submitted(aName));
        return;
      }
      aStore->Write(KeyOf(aName),
                    aFound->m_version,
                    std::string(kBegun),
                    objectstore::CallPriority::Status,
                    [aName, aReply](absl::StatusOr<uint64_t> aVersion) {
                      aReply->Set(aVersion.ok() ? absl::OkStatus()
                                                : Submitted(aName));
                    });
    });
}

/// Creates the record of a call, or tries to claim an existing one. Control
/// thread only.
void
ClaimFirst(std::shared_ptr<objectstore::ObjectStore> aStore,
           std::string aName,
           std::shared_ptr<Reply> aReply)
{
  aStore->Write(KeyOf(aName),
                0,
                std::string(kBegun),
                objectstore::CallPriority::Status,
                [aStore, aName, aReply](absl::StatusOr<uint64_t> aVersion) {
                  if (aVersion.ok()) {
                    aReply->Set(absl::OkStatus());
                  } else if (absl::IsAborted(aVersion.status())) {
                    ClaimAgain(aStore, aName, aReply);
                  } else {
                    aReply->Set(Unavailable(aName));
                  }
                });
}

} // namespace

bool
IsRequestId(std::string_view aId)
{
  return !aId.empty() && aId.size() <= kMaxIdBytes &&
         std::ranges::all_of(aId, [](unsigned char aC) {
           return std::isalnum(aC) != 0 || aC == '.' || aC == '_' || aC == '-';
         });
}

boost::asio::awaitable<absl::Status>
ClaimSubmission(kernel::Context& aContext, size_t aLoopIndex, std::string aName)
{
  auto reply = std::make_shared<Reply>(aContext.Traffic().Loop(aLoopIndex));
  auto store = aContext.Get<objectstore::ObjectStore>();
  aContext.Control().Post(
    [store, aName, reply] { ClaimFirst(store, aName, reply); });
  co_return co_await reply->Wait();
}

void
ReleaseSubmission(kernel::Context& aContext, std::string aName)
{
  auto store = aContext.Get<objectstore::ObjectStore>();
  aContext.Control().Post([store, aName] {
    store->Read(
      KeyOf(aName),
      objectstore::CallPriority::Status,
      [store, aName](absl::StatusOr<objectstore::StoredObject> aFound) {
        if (aFound.ok() && aFound->m_value == kBegun) {
          store->Write(KeyOf(aName),
                       aFound->m_version,
                       std::string(kNotRun),
                       objectstore::CallPriority::Status,
                       [](absl::StatusOr<uint64_t>) {});
        }
      });
  });
}

} // namespace heatherdeal::forwarding
