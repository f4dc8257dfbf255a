#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/instant.h"
#include "core/weightversion.h"

namespace heatherdeal::batches {

using BatchId = core::Name<struct BatchTag>;
using ItemId = core::Name<struct ItemTag>;

/// An HTTP header that is sent with an item's generation request.
struct ItemHeader
{
  std::string m_name;
  std::string m_value;
};

/// The scoring request of an item; the proof in its response is the score. The
/// request may be sent more than once.
struct RewardRequest
{
  std::string m_id;
  std::string m_host;
  std::string m_path;
  std::string m_body;
};

/// One generation request of a batch.
struct BatchItem
{
  ItemId m_id;
  std::string m_path;
  std::vector<ItemHeader> m_headers;
  std::string m_body;
  /// Items of a group share one prompt; the trainer can use only whole groups.
  std::string m_group;
  /// Estimated length of the generated text, in tokens; 0 if unknown.
  uint32_t m_expectedTokens = 0;
  std::optional<RewardRequest> m_reward;
};

/// A batch of generation requests as a trainer submits it.
struct Submission
{
  BatchId m_id;
  /// The virtual host and the path that select the route.
  std::string m_host;
  std::string m_path;
  /// The customer that has submitted the batch; empty if it needed no key.
  core::CustomerId m_customer;
  /// The name of the weights that generate the texts.
  std::string m_weights;
  /// The oldest weight version that may generate any token of the batch.
  core::WeightVersion m_oldestAllowedVersion;
  /// The number of complete groups that the trainer waits for; 0 if it names
  /// none.
  uint32_t m_wantedGroups = 0;
  /// The time at which the batch was accepted, in Unix milliseconds.
  int64_t m_acceptedAt = 0;
  std::vector<BatchItem> m_items;
  /// Bytes of the memory budget that the submission occupies, if any; neither
  /// stored nor sent.
  std::shared_ptr<const void> m_reservation;
};

/// The item has its complete text and, if it asks for one, its score.
struct Completed
{
  std::string m_text;
  std::vector<core::WeightVersion> m_versions;
  std::string m_score;
};

/// The item failed permanently and has no text.
struct Lost
{};

/// The final result of an item. Its position in the result list of the batch
/// never changes.
struct ItemResult
{
  ItemId m_item;
  std::variant<Completed, Lost> m_outcome;
};

/// The host that owns a batch, as recorded in the object store.
struct Placement
{
  BatchId m_batch;
  /// The name of the owner; empty after the owner has handed the batch over.
  std::string m_owner;
  /// The customer that has submitted the batch; empty if it needed no key.
  core::CustomerId m_customer;
  /// True once the trainer has ended the batch.
  bool m_ended = false;
  /// The time at which the batch was accepted, in Unix milliseconds.
  int64_t m_acceptedAt = 0;
  /// The version of the stored object; 0 if it has not been stored.
  uint64_t m_version = 0;
};

} // namespace heatherdeal::batches
