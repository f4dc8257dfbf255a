#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <variant>

#include "core/instant.h"

namespace heatherdeal::budget {

/// The machine of a process.
struct MachineSize
{
  uint64_t m_memoryBytes = 0;
  uint32_t m_maxDescriptors = 0;
};

/// What the requests and responses of a process may occupy.
struct BudgetLimits
{
  /// Bytes of all bodies and of the state of connections.
  uint64_t m_maxBytes = 4ULL * 1024 * 1024 * 1024;
  /// The part of m_maxBytes that bodies over kOrdinaryBytes may occupy.
  uint64_t m_maxLargeBytes = 4ULL * 1024 * 1024 * 1024;
  /// Incoming and outgoing connections.
  uint32_t m_maxConnections = 2'000'000;
  /// The part of m_maxConnections that incoming connections may occupy.
  uint32_t m_maxIncoming = 1'000'000;
  /// True if the limits were derived from a machine, so that the buffers of the
  /// operating system are bounded as well.
  bool m_isOfMachine = false;
};

/// Bodies of at most this size have a share that larger ones cannot take.
inline constexpr uint64_t kOrdinaryBytes = 64ULL * 1024;

/// Returns the limits that keep a process within its machine.
BudgetLimits
DeriveLimits(const MachineSize& aMachine);

/// What is in use.
struct BudgetUsage
{
  uint64_t m_bytes = 0;
  /// The part of m_bytes that bodies over kOrdinaryBytes occupy.
  uint64_t m_largeBytes = 0;
  uint32_t m_incoming = 0;
  uint32_t m_outgoing = 0;
};

/// Returns the usage after a reservation changes its size, or nullopt if it
/// would exceed the limits. A reservation that does not grow is always allowed.
std::optional<BudgetUsage>
ResizeReservation(const BudgetLimits& aLimits,
                  BudgetUsage aUsage,
                  uint64_t aOldBytes,
                  uint64_t aNewBytes);

/// Returns true if one more connection may be accepted.
bool
MayAccept(const BudgetLimits& aLimits, const BudgetUsage& aUsage);

/// Returns true if a connection to a peer may stay open while it is idle.
bool
MayPoolOutgoing(const BudgetLimits& aLimits, const BudgetUsage& aUsage);

/// Returns the bytes that a partly read body occupies at most, including the
/// buffer that it outgrows. aCopies is the number of copies that its handler
/// makes.
uint64_t
CostOfBody(uint64_t aBodyBytes, bool aIsLengthKnown, uint32_t aCopies);

/// No byte of a request has arrived.
struct AwaitingRequest
{};
/// A request has arrived in part.
struct ReadingRequest
{};
/// The handler of a complete request runs.
struct RunningRequest
{};
/// The response is being sent.
struct WritingResponse
{};

using ConnectionActivity = std::
  variant<AwaitingRequest, ReadingRequest, RunningRequest, WritingResponse>;

/// What is known of an incoming connection.
struct ConnectionState
{
  uint64_t m_id = 0;
  ConnectionActivity m_activity;
  /// When the activity began.
  core::Instant m_since{};
  core::Instant m_lastProgressAt{};
  /// Bytes that were read or written in the activity.
  uint64_t m_progressBytes = 0;
  /// Bytes of the budget that the connection has reserved.
  uint64_t m_reservedBytes = 0;
};

/// Returns the connection that gives way if bytes run short: the one whose
/// transfer is stalled and made the least progress in proportion to its age,
/// large ones first; nullopt if no transfer is stalled.
std::optional<uint64_t>
ChooseToFreeBytes(std::span<const ConnectionState> aConnections,
                  core::Instant aNow);

/// Returns the connection that gives way if descriptors run short: the one that
/// waits for a request for the longest time, otherwise a stalled transfer;
/// nullopt if there is none.
std::optional<uint64_t>
ChooseToFreeDescriptor(std::span<const ConnectionState> aConnections,
                       core::Instant aNow);

} // namespace heatherdeal::budget
