#include "forwarding/internal/submissions.h"

#include <algorithm>
#include <cctype>

#include "core/failure.h"
#include "kernel/awaitablevalue.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::forwarding {

namespace {

constexpr size_t kMaxRequestIdBytes = 128;
constexpr std::string_view kSubmissionsKind = "submissions";
constexpr std::string_view kStartedValue = "begun";
constexpr std::string_view kNotRunValue = "not-run";

using ClaimResult = kernel::AwaitableValue<absl::Status>;

objectstore::ObjectKey
SubmissionKey(std::string_view aName)
{
  return { std::string(kSubmissionsKind), std::string(aName) };
}

absl::Status
RecordUnavailableStatus(std::string_view aName)
{
  return core::ToStatus(core::RecordUnavailable{ std::string(aName) });
}

absl::Status
AlreadySubmittedStatus(std::string_view aName)
{
  return core::ToStatus(
    core::AlreadySubmitted{ std::string(aName), core::Executed::Unknown });
}

/// Claims an existing record if it says that its call did not run. Control
/// thread only.
void
ClaimReleasedRecord(std::shared_ptr<objectstore::ObjectStore> aStore,
                    std::string aName,
                    std::shared_ptr<ClaimResult> aResult)
{
  aStore->Read(
    SubmissionKey(aName),
    objectstore::CallPriority::Status,
    [aStore, aName, aResult](absl::StatusOr<objectstore::StoredObject> aFound) {
      if (!aFound.ok()) {
        aResult->Set(RecordUnavailableStatus(aName));
        return;
      }
      if (aFound->m_value != kNotRunValue) {
        aResult->Set(AlreadySubmittedStatus(aName));
        return;
      }
      aStore->Write(SubmissionKey(aName),
                    aFound->m_version,
                    std::string(kStartedValue),
                    objectstore::CallPriority::Status,
                    [aName, aResult](absl::StatusOr<uint64_t> aVersion) {
                      aResult->Set(aVersion.ok()
                                     ? absl::OkStatus()
                                     : AlreadySubmittedStatus(aName));
                    });
    });
}

/// Creates the record of a call, or tries to claim an existing one. Control
/// thread only.
void
ClaimRecord(std::shared_ptr<objectstore::ObjectStore> aStore,
            std::string aName,
            std::shared_ptr<ClaimResult> aResult)
{
  aStore->Write(SubmissionKey(aName),
                0,
                std::string(kStartedValue),
                objectstore::CallPriority::Status,
                [aStore, aName, aResult](absl::StatusOr<uint64_t> aVersion) {
                  if (aVersion.ok()) {
                    aResult->Set(absl::OkStatus());
                  } else if (absl::IsAborted(aVersion.status())) {
                    ClaimReleasedRecord(aStore, aName, aResult);
                  } else {
                    aResult->Set(RecordUnavailableStatus(aName));
                  }
                });
}

} // namespace

bool
IsValidRequestId(std::string_view aRequestId)
{
  return !aRequestId.empty() && aRequestId.size() <= kMaxRequestIdBytes &&
         std::ranges::all_of(aRequestId, [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 || aChar == '.' || aChar == '_' ||
                  aChar == '-';
         });
}

boost::asio::awaitable<absl::Status>
ClaimSubmission(kernel::Context& aContext, size_t aLoopIndex, std::string aName)
{
  auto result =
    std::make_shared<ClaimResult>(aContext.Traffic().Loop(aLoopIndex));
  auto store = aContext.Get<objectstore::ObjectStore>();
  aContext.Control().Post(
    [store, aName, result] { ClaimRecord(store, aName, result); });
  co_return co_await result->Wait();
}

void
ReleaseSubmission(kernel::Context& aContext, std::string aName)
{
  auto store = aContext.Get<objectstore::ObjectStore>();
  aContext.Control().Post([store, aName] {
    store->Read(
      SubmissionKey(aName),
      objectstore::CallPriority::Status,
      [store, aName](absl::StatusOr<objectstore::StoredObject> aFound) {
        if (aFound.ok() && aFound->m_value == kStartedValue) {
          store->Write(SubmissionKey(aName),
                       aFound->m_version,
                       std::string(kNotRunValue),
                       objectstore::CallPriority::Status,
                       [](absl::StatusOr<uint64_t>) {});
        }
      });
  });
}

} // namespace heatherdeal::forwarding
