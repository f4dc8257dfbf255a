#pragma once

#include <cstdint>
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

struct ItemHeader
{
  std::string m_name;
  std::string m_value;
};

/// The request whose proof is an item's score. It may be repeated.
struct RewardCall
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
  /// Items of one group share their prompt; a trainer wants whole groups.
  std::string m_group;
  /// Estimated length of the text, in tokens; 0: unknown.
  uint32_t m_expectedTokens = 0;
  std::optional<RewardCall> m_reward;
};

/// What a trainer asks for at once.
struct Submission
{
  BatchId m_id;
  /// Virtual host and path that select the route.
  std::string m_host;
  std::string m_path;
  /// Name of the weights that generate the texts.
  std::string m_weights;
  /// The oldest version that may generate a token.
  core::WeightVersion m_oldest;
  /// Whole groups that the trainer waits for.
  uint32_t m_wantedGroups = 0;
  /// Unix milliseconds at which the batch was accepted.
  int64_t m_acceptedAt = 0;
  std::vector<BatchItem> m_items;
};

/// The text is whole and, where a score was asked for, scored.
struct Completed
{
  std::string m_text;
  std::vector<core::WeightVersion> m_versions;
  std::string m_score;
};

/// The item was given up.
struct Lost
{};

/// The final result of an item; its position in a batch never changes.
struct ItemResult
{
  ItemId m_item;
  std::variant<Completed, Lost> m_outcome;
};

/// Which host runs a batch, as agreed through the object store.
struct Placement
{
  BatchId m_batch;
  std::string m_owner;
  bool m_ended = false;
  int64_t m_acceptedAt = 0;
  /// Version of the object; 0: not stored.
  uint64_t m_version = 0;
};

} // namespace heatherdeal::batches
