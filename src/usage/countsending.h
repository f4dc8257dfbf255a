#pragma once

#include <optional>
#include <string>
#include <vector>

#include "usage/windowcounts.h"

namespace heatherdeal::usage {

/// The host that holds the duty to report, as far as this host knows.
struct Holder
{
  std::string m_host;
  /// Increases with each new holder.
  uint64_t m_epoch = 0;

  bool operator==(const Holder&) const = default;
};

/// One window in a message to the holder.
struct CountedWindow
{
  WindowId m_window = 0;
  CustomerCounts m_counts;

  bool operator==(const CountedWindow&) const = default;
};

/// What a host tells the holder. Counts are cumulative.
struct CountMessage
{
  std::string m_host;
  /// Identifies the run of the host; increases with each start.
  uint64_t m_run = 0;
  /// The holder that the message is meant for.
  uint64_t m_epoch = 0;
  /// The host does not expect to count in this window or earlier ones any more.
  WindowId m_finalThrough = 0;
  std::vector<CountedWindow> m_windows;

  bool operator==(const CountMessage&) const = default;
};

/// The holder's answer to a message.
struct CountReceipt
{
  /// The contents of this window and of all earlier ones are decided.
  WindowId m_decidedThrough = 0;
};

/// What the holder has confirmed of the counts of this host.
struct CountSending
{
  Holder m_holder;
  /// Versions of the windows that the holder has.
  std::map<WindowId, uint64_t> m_confirmedVersions;
  WindowId m_confirmedFinal = 0;
  /// Content of these windows is decided, so that they need not be sent.
  WindowId m_decidedThrough = 0;
  bool m_isSending = false;
};

/// A message, and the versions of the windows in it.
struct PreparedMessage
{
  CountMessage m_message;
  std::map<WindowId, uint64_t> m_versions;
};

/// Records a holder. Returns false if it is not newer than the known one.
/// A new holder gets all windows that are not decided.
bool
SetHolder(CountSending& aSending, const Holder& aHolder);

/// Returns the message that is due, if there is a holder that lacks anything
/// and no message is on its way.
std::optional<PreparedMessage>
PrepareMessage(CountSending& aSending,
               const WindowCounts& aCounts,
               WindowId aFinalThrough);

/// Records the end of the message: what the holder answered, or nothing if it
/// did not accept it.
void
RecordReceipt(CountSending& aSending,
              const PreparedMessage& aMessage,
              const std::optional<CountReceipt>& aReceipt);

} // namespace heatherdeal::usage
