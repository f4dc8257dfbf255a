#pragma once

// Small stand-ins for the platform's store, workers and requesters, and what
// starts the programs under test. They follow PROTOCOL.md and DEPLOY.md.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "boost/json/value.hpp"

namespace review {

namespace json = boost::json;

/// Milliseconds of a clock that all processes of a case share.
int64_t
NowMs();

void
SleepMs(int64_t aMilliseconds);

/// Appends a line with its time to the record of the case. Thread-safe, also
/// between processes.
void
Record(const std::string& aLine);

/// Sets the file that Record appends to.
void
SetRecordFile(const std::string& aPath);

/// Returns the worker that runs the request by the record in the folder; "" if
/// none does.
std::string
FindWorkerOf(const std::string& aFolder, const std::string& aRequestId);

/// Returns when a worker last had each request, by the record in the folder:
/// the start of its last run, or its end if it has ended.
std::map<std::string, int64_t>
FindLastWork(const std::string& aFolder);

/// Returns each start of a request at a worker with its time, by the record in
/// the folder.
std::vector<std::pair<std::string, int64_t>>
FindStarts(const std::string& aFolder);

struct Message
{
  std::string m_startLine;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  /// False if the connection ended before the message was complete.
  bool m_isComplete = false;

  std::string Header(const std::string& aName) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

/// A connected socket, with what was received and not read yet.
class Channel
{
public:
  explicit Channel(int aSocket)
    : m_socket(aSocket)
  {
  }
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  bool Send(const std::string& aBytes);
  /// Reads one request or response. A response to HEAD is not supported.
  Message Read(int64_t aDeadlineMs);
  /// True if the peer has closed the connection.
  bool IsClosedByPeer() const;
  /// Closes the connection with a reset.
  void Reset();
  int Socket() const { return m_socket; }

private:
  /// Receives more bytes. Returns false at the end, an error or the deadline.
  bool Receive(int64_t aDeadlineMs);

  int m_socket;
  std::string m_buffer;
  bool m_hasEnded = false;
};

/// Connects; returns null if that fails within the time.
std::unique_ptr<Channel>
Connect(const std::string& aAddress, uint16_t aPort, int64_t aTimeoutMs);

/// Listens on the address and calls the handler for each connection on a thread
/// of its own.
void
Listen(const std::string& aAddress,
       uint16_t aPort,
       std::function<void(Channel&)> aHandler);

std::string
MakeResponse(int aStatus,
             const std::vector<std::pair<std::string, std::string>>& aHeaders,
             const std::string& aBody);

/// The platform's store, kinds "objects" of PROTOCOL.md.
class Store
{
public:
  void Start(const std::string& aAddress, uint16_t aPort);
  void Put(const std::string& aKind,
           const std::string& aName,
           json::value aSpec,
           int64_t aBorn = 0);
  void Remove(const std::string& aKind, const std::string& aName);
  /// While true, each call is answered with 503.
  void SetUnavailable(bool aIsUnavailable);

private:
  struct Object
  {
    uint64_t m_revision = 0;
    bool m_isDeleted = false;
    json::value m_spec;
    json::value m_status;
  };

  std::string Answer(const Message& aRequest);
  std::string Write(const Message& aRequest,
                    const std::string& aKind,
                    std::string aName,
                    bool aIsStatus);
  static json::value ToJson(const std::string& aName, const Object& aObject);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Object>> m_kinds;
  uint64_t m_revision = 10;
  bool m_isUnavailable = false;
};

/// A process that the case has started.
class Process
{
public:
  ~Process();
  void Start(const std::vector<std::string>& aCommand,
             const std::string& aLogFile,
             const std::vector<std::string>& aEnvironment = {});
  void Signal(int aSignal) const;
  void Kill();
  /// True if it has ended by itself or by a signal.
  bool HasEnded();
  /// Returns how it has ended, as waitpid tells.
  int EndStatus() const { return m_endStatus; }

private:
  int m_id = 0;
  int m_endStatus = 0;
};

/// Fills in a template of settings as DEPLOY.md tells.
std::string
RenderTemplate(const std::string& aTemplate, const json::value& aFields);

struct HostOptions
{
  std::string m_name;
  std::string m_address;
  std::string m_zone;
  bool m_isEntry = false;
};

inline constexpr uint16_t kFrontPort = 8161;
inline constexpr uint16_t kReadinessPort = 8167;
inline constexpr uint16_t kStorePort = 8169;
inline constexpr uint16_t kWorkerPort = 8080;

/// A small deployment: the store, and the hosts of both roles.
class Deployment
{
public:
  /// Takes the folder of the case; logs and settings go to a temporary one.
  explicit Deployment(std::string aCaseFolder);

  /// Returns a loopback address of this case.
  std::string Address(int aNumber) const;
  void StartHost(const HostOptions& aOptions);
  Process& Host(const std::string& aName) { return m_processes[aName]; }
  /// Waits until the front says that it is ready.
  bool AwaitReady(const std::string& aAddress, int64_t aTimeoutMs) const;
  /// Starts this program once more as a worker with these arguments, and
  /// registers it in the store.
  Process& StartWorker(const std::string& aId,
                       const std::string& aService,
                       const std::string& aAddress,
                       const std::vector<std::string>& aArguments,
                       json::value aExtraFields);
  Store& TheStore() { return m_store; }
  /// Kills all processes and ends this one with the exit code.
  [[noreturn]] void Finish(int aExitCode);

private:
  std::string m_caseFolder;
  std::string m_temporaryFolder;
  int m_network = 0;
  Store m_store;
  std::vector<std::string> m_seeds;
  std::map<std::string, Process> m_processes;
};

/// Returns true if the disruption is to take place.
bool
IsTroubleWanted();

} // namespace review
