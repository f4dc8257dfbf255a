#include "budget/memorybudget.h"

#include <algorithm>

#include "core/overloaded.h"

namespace heatherdeal::budget {

namespace {

// An idle process occupies about 20 MB. Of the rest, the heap loses a part to
// fragmentation, and the buffers of sockets in the operating system count too.
constexpr uint64_t kProcessBytes = 16'000'000;
constexpr uint64_t kBudgetPercent = 60;
constexpr uint64_t kPercent = 100;
// Gossip, the store and operators need their own bytes, however small the
// machine is.
constexpr uint64_t kMinBudgetBytes = 8'000'000;
constexpr uint64_t kOrdinaryShare = 10;
// Listeners, log, timers and connections that are not counted.
constexpr uint32_t kReservedDescriptors = 200;
constexpr uint32_t kMinConnections = 64;
// Each request that runs needs a connection to an upstream.
constexpr uint32_t kIncomingPercent = 65;
// Body sizes are rounded up to this, so that a body does not update the budget
// with every read.
constexpr uint64_t kBodyStepBytes = 64ULL * 1024;
// A growing buffer of unknown final size is copied into one of twice its size.
constexpr uint32_t kGrowthCopies = 2;
// Callers send and read without pauses of this length, except for lost packets.
constexpr core::Duration kStallTime = std::chrono::milliseconds(500);
constexpr core::Duration kGraceTime = std::chrono::seconds(1);
// A 32 MiB body at this rate would take four minutes.
constexpr double kMinBytesPerSecond = 128.0 * 1024;

bool
IsLarge(uint64_t aBytes)
{
  return aBytes > kOrdinaryBytes;
}

double
BytesPerSecond(const ConnectionState& aState, core::Instant aNow)
{
  const std::chrono::duration<double> age =
    std::max(aNow - aState.m_since, core::Duration(1));
  return static_cast<double>(aState.m_progressBytes) / age.count();
}

bool
IsTransfer(const ConnectionState& aState)
{
  return std::holds_alternative<ReadingRequest>(aState.m_activity) ||
         std::holds_alternative<WritingResponse>(aState.m_activity);
}

bool
IsStalled(const ConnectionState& aState, core::Instant aNow)
{
  const bool isSilent = aNow - aState.m_lastProgressAt >= kStallTime;
  const bool isSlow = aNow - aState.m_since >= kGraceTime &&
                      BytesPerSecond(aState, aNow) < kMinBytesPerSecond;
  return IsTransfer(aState) && (isSilent || isSlow);
}

/// The order in which connections give way if descriptors run short; nullopt
/// for those that do not.
std::optional<int>
RankForDescriptor(const ConnectionState& aState, core::Instant aNow)
{
  const bool isStalled = IsStalled(aState, aNow);
  return std::visit(
    core::Overloaded{
      [](const AwaitingRequest&) { return std::optional(0); },
      [](const RunningRequest&) { return std::optional<int>(); },
      [isStalled](const auto&) {
        return isStalled ? std::optional(1) : std::nullopt;
      } },
    aState.m_activity);
}

/// Returns true if the left transfer gives way before the right one. Many small
/// ones would have to end in place of a large one.
bool
GivesWayBefore(const ConnectionState& aLeft,
               const ConnectionState& aRight,
               core::Instant aNow)
{
  const bool isLeftLarge = IsLarge(aLeft.m_reservedBytes);
  const bool isRightLarge = IsLarge(aRight.m_reservedBytes);
  return isLeftLarge != isRightLarge
           ? isLeftLarge
           : BytesPerSecond(aLeft, aNow) < BytesPerSecond(aRight, aNow);
}

} // namespace

BudgetLimits
DeriveLimits(const MachineSize& aMachine)
{
  BudgetLimits limits;
  limits.m_isOfMachine = true;
  const uint64_t share = aMachine.m_memoryBytes * kBudgetPercent / kPercent;
  limits.m_maxBytes =
    std::max(share, kProcessBytes + kMinBudgetBytes) - kProcessBytes;
  limits.m_maxLargeBytes =
    limits.m_maxBytes - limits.m_maxBytes / kOrdinaryShare;
  limits.m_maxConnections = std::max(aMachine.m_maxDescriptors,
                                     kReservedDescriptors + kMinConnections) -
                            kReservedDescriptors;
  limits.m_maxIncoming = static_cast<uint32_t>(
    uint64_t{ limits.m_maxConnections } * kIncomingPercent / kPercent);
  return limits;
}

std::optional<BudgetUsage>
ResizeReservation(const BudgetLimits& aLimits,
                  BudgetUsage aUsage,
                  uint64_t aOldBytes,
                  uint64_t aNewBytes)
{
  aUsage.m_bytes = aUsage.m_bytes - aOldBytes + aNewBytes;
  aUsage.m_largeBytes -= IsLarge(aOldBytes) ? aOldBytes : 0;
  aUsage.m_largeBytes += IsLarge(aNewBytes) ? aNewBytes : 0;
  const bool fits = aUsage.m_bytes <= aLimits.m_maxBytes &&
                    aUsage.m_largeBytes <= aLimits.m_maxLargeBytes;
  return fits || aNewBytes <= aOldBytes ? std::optional(aUsage) : std::nullopt;
}

bool
MayAccept(const BudgetLimits& aLimits, const BudgetUsage& aUsage)
{
  return aUsage.m_incoming < aLimits.m_maxIncoming &&
         aUsage.m_incoming + aUsage.m_outgoing < aLimits.m_maxConnections;
}

bool
MayPoolOutgoing(const BudgetLimits& aLimits, const BudgetUsage& aUsage)
{
  return aUsage.m_outgoing <= aLimits.m_maxConnections - aLimits.m_maxIncoming;
}

uint64_t
CostOfBody(uint64_t aBodyBytes, bool aIsLengthKnown, uint32_t aCopies)
{
  const uint64_t bytes =
    aBodyBytes <= kBodyStepBytes
      ? aBodyBytes
      : (aBodyBytes + kBodyStepBytes - 1) / kBodyStepBytes * kBodyStepBytes;
  return bytes * std::max(aCopies, aIsLengthKnown ? 1U : kGrowthCopies);
}

std::optional<uint64_t>
ChooseToFreeBytes(std::span<const ConnectionState> aConnections,
                  core::Instant aNow)
{
  const ConnectionState* chosen = nullptr;
  for (const ConnectionState& state : aConnections) {
    if (state.m_reservedBytes > 0 && IsStalled(state, aNow) &&
        (chosen == nullptr || GivesWayBefore(state, *chosen, aNow))) {
      chosen = &state;
    }
  }
  return chosen == nullptr ? std::nullopt : std::optional(chosen->m_id);
}

std::optional<uint64_t>
ChooseToFreeDescriptor(std::span<const ConnectionState> aConnections,
                       core::Instant aNow)
{
  const ConnectionState* chosen = nullptr;
  int chosenRank = 0;
  for (const ConnectionState& state : aConnections) {
    const std::optional<int> rank = RankForDescriptor(state, aNow);
    if (rank && (chosen == nullptr || *rank < chosenRank ||
                 (*rank == chosenRank &&
                  state.m_lastProgressAt < chosen->m_lastProgressAt))) {
      chosen = &state;
      chosenRank = *rank;
    }
  }
  return chosen == nullptr ? std::nullopt : std::optional(chosen->m_id);
}

} // namespace heatherdeal::budget
