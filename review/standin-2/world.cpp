#include "world.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include "boost/json/src.hpp"

namespace review {

namespace {

std::string g_recordFile;

std::string
ToLower(std::string aText)
{
  for (char& character : aText) {
    character = static_cast<char>(std::tolower(character));
  }
  return aText;
}

sockaddr_in
ToSocketAddress(const std::string& aAddress, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  ::inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  return address;
}

std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  const size_t begin = aTarget.find('?');
  if (begin == std::string::npos) {
    return "";
  }
  std::stringstream query(aTarget.substr(begin + 1));
  std::string parameter;
  while (std::getline(query, parameter, '&')) {
    if (parameter.rfind(aName + "=", 0) == 0) {
      return parameter.substr(aName.size() + 1);
    }
  }
  return "";
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

const json::value*
FindValue(const json::value& aFields, const std::string& aPath)
{
  const json::value* value = &aFields;
  std::stringstream path(aPath);
  std::string name;
  while (std::getline(path, name, '.')) {
    if (const auto* object = value->if_object()) {
      value = object->if_contains(name);
    } else if (const auto* array = value->if_array()) {
      const size_t index = std::strtoul(name.c_str(), nullptr, 10);
      value = index < array->size() ? &(*array)[index] : nullptr;
    } else {
      value = nullptr;
    }
    if (value == nullptr) {
      return nullptr;
    }
  }
  return value;
}

bool
IsSet(const json::value* aValue)
{
  return aValue != nullptr && !aValue->is_null() &&
         !(aValue->is_bool() && !aValue->get_bool());
}

} // namespace

int64_t
NowMs()
{
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
}

void
SleepMs(int64_t aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

void
SetRecordFile(const std::string& aPath)
{
  g_recordFile = aPath;
}

void
Record(const std::string& aLine)
{
  const std::string line = std::to_string(NowMs()) + " " + aLine + "\n";
  const int file =
    ::open(g_recordFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (file >= 0) {
    (void)!::write(file, line.data(), line.size());
    ::close(file);
  }
}

std::string
FindWorkerOf(const std::string& aFolder, const std::string& aRequestId)
{
  std::ifstream record(aFolder + "/record.txt");
  std::string line;
  std::string found;
  while (std::getline(record, line)) {
    std::stringstream words(line);
    std::string time;
    std::string kind;
    std::string worker;
    std::string verb;
    std::string id;
    words >> time >> kind >> worker >> verb >> id;
    if (kind == "worker" && verb == "runs" && id == aRequestId) {
      found = worker;
    }
  }
  return found;
}

std::map<std::string, int64_t>
FindLastWork(const std::string& aFolder)
{
  std::ifstream record(aFolder + "/record.txt");
  std::string line;
  std::map<std::string, int64_t> found;
  while (std::getline(record, line)) {
    std::stringstream words(line);
    int64_t time = 0;
    std::string kind;
    std::string worker;
    std::string verb;
    std::string id;
    words >> time >> kind >> worker >> verb >> id;
    if (kind == "worker" && (verb == "runs" || verb == "ends")) {
      found[id] = time;
    }
  }
  return found;
}

std::vector<std::pair<std::string, int64_t>>
FindStarts(const std::string& aFolder)
{
  std::ifstream record(aFolder + "/record.txt");
  std::string line;
  std::vector<std::pair<std::string, int64_t>> starts;
  while (std::getline(record, line)) {
    std::stringstream words(line);
    int64_t time = 0;
    std::string kind;
    std::string worker;
    std::string verb;
    std::string id;
    words >> time >> kind >> worker >> verb >> id;
    if (kind == "worker" && verb == "runs") {
      starts.emplace_back(id, time);
    }
  }
  return starts;
}

std::string
Message::Header(const std::string& aName) const
{
  for (const auto& [name, value] : m_headers) {
    if (ToLower(name) == ToLower(aName)) {
      return value;
    }
  }
  return "";
}

std::string
Message::Method() const
{
  return m_startLine.substr(0, m_startLine.find(' '));
}

std::string
Message::Target() const
{
  const size_t begin = m_startLine.find(' ') + 1;
  return m_startLine.substr(begin, m_startLine.rfind(' ') - begin);
}

int
Message::Status() const
{
  return m_startLine.size() < 12 ? 0 : std::atoi(m_startLine.c_str() + 9);
}

Channel::~Channel()
{
  if (m_socket >= 0) {
    ::close(m_socket);
  }
}

bool
Channel::Send(const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count = ::send(
      m_socket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool
Channel::Receive(int64_t aDeadlineMs)
{
  if (m_hasEnded) {
    return false;
  }
  pollfd poll{ m_socket, POLLIN, 0 };
  const int64_t left = std::max<int64_t>(0, aDeadlineMs - NowMs());
  if (::poll(&poll, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t count = ::recv(m_socket, bytes, sizeof bytes, 0);
  if (count <= 0) {
    m_hasEnded = true;
    return false;
  }
  m_buffer.append(bytes, static_cast<size_t>(count));
  return true;
}

Message
Channel::Read(int64_t aDeadlineMs)
{
  Message message;
  size_t headEnd = 0;
  while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(aDeadlineMs)) {
      return message;
    }
  }
  std::stringstream head(m_buffer.substr(0, headEnd));
  m_buffer.erase(0, headEnd + 4);
  std::string line;
  std::getline(head, line);
  message.m_startLine = line.substr(0, line.find('\r'));
  while (std::getline(head, line)) {
    line = line.substr(0, line.find('\r'));
    const size_t colon = line.find(':');
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.m_headers.push_back({ line.substr(0, colon), value });
  }
  const std::string length = message.Header("Content-Length");
  const bool isChunked =
    ToLower(message.Header("Transfer-Encoding")) == "chunked";
  const bool isResponse = message.m_startLine.rfind("HTTP/", 0) == 0;
  if (isChunked) {
    for (;;) {
      size_t end = 0;
      while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!Receive(aDeadlineMs)) {
          return message;
        }
      }
      const size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
      while (m_buffer.size() < end + 2 + size + 2) {
        if (!Receive(aDeadlineMs)) {
          return message;
        }
      }
      message.m_body += m_buffer.substr(end + 2, size);
      m_buffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        break;
      }
    }
  } else if (!length.empty() || !isResponse) {
    const size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
      if (!Receive(aDeadlineMs)) {
        message.m_body = m_buffer;
        return message;
      }
    }
    message.m_body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
  } else {
    while (Receive(aDeadlineMs)) {
    }
    message.m_body = m_buffer;
    if (!m_hasEnded) {
      return message;
    }
  }
  message.m_isComplete = true;
  return message;
}

bool
Channel::IsClosedByPeer() const
{
  char byte = 0;
  const ssize_t count = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
Channel::Reset()
{
  const linger option{ 1, 0 };
  ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  ::close(m_socket);
  m_socket = -1;
}

std::unique_ptr<Channel>
Connect(const std::string& aAddress, uint16_t aPort, int64_t aTimeoutMs)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const sockaddr_in address = ToSocketAddress(aAddress, aPort);
  auto channel = std::make_unique<Channel>(socket);
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return channel;
}

void
Listen(const std::string& aAddress,
       uint16_t aPort,
       std::function<void(Channel&)> aHandler)
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToSocketAddress(aAddress, aPort);
  if (::bind(listener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
      ::listen(listener, 256) != 0) {
    std::fprintf(stderr,
                 "cannot listen on %s:%d\n",
                 aAddress.c_str(),
                 static_cast<int>(aPort));
    std::exit(2);
  }
  std::thread([listener, handler = std::move(aHandler)] {
    for (;;) {
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([socket, handler] {
        Channel channel(socket);
        handler(channel);
      }).detach();
    }
  }).detach();
}

std::string
MakeResponse(int aStatus,
             const std::vector<std::pair<std::string, std::string>>& aHeaders,
             const std::string& aBody)
{
  std::string response = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aHeaders) {
    response += name + ": " + value + "\r\n";
  }
  response += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return response + aBody;
}

json::value
Store::ToJson(const std::string& aName, const Object& aObject)
{
  return { { "metadata",
             { { "name", aName },
               { "revision", aObject.m_revision },
               { "created", 1 },
               { "finalizers", json::array() },
               { "deleting", false } } },
           { "spec", aObject.m_spec },
           { "status", aObject.m_status } };
}

void
Store::Start(const std::string& aAddress, uint16_t aPort)
{
  Listen(aAddress, aPort, [this](Channel& aChannel) {
    constexpr int64_t kIdleMs = 120'000;
    for (;;) {
      const Message request = aChannel.Read(NowMs() + kIdleMs);
      if (!request.m_isComplete || !aChannel.Send(Answer(request))) {
        return;
      }
    }
  });
}

void
Store::Put(const std::string& aKind,
           const std::string& aName,
           json::value aSpec,
           int64_t aBorn)
{
  const std::scoped_lock lock(m_mutex);
  if (aBorn > 0) {
    aSpec.as_object()["born"] = aBorn;
  }
  Object& object = m_kinds[aKind][aName];
  object.m_revision = ++m_revision;
  object.m_isDeleted = false;
  object.m_spec = std::move(aSpec);
  m_changed.notify_all();
}

void
Store::Remove(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(m_mutex);
  Object& object = m_kinds[aKind][aName];
  object.m_revision = ++m_revision;
  object.m_isDeleted = true;
  m_changed.notify_all();
}

void
Store::SetUnavailable(bool aIsUnavailable)
{
  const std::scoped_lock lock(m_mutex);
  m_isUnavailable = aIsUnavailable;
  m_changed.notify_all();
}

std::string
Store::Answer(const Message& aRequest)
{
  const std::string target = aRequest.Target();
  const std::string path = target.substr(0, target.find('?'));
  constexpr std::string_view kPrefix = "/heatherdeal/objects/";
  if (path.rfind(kPrefix, 0) != 0) {
    return MakeResponse(404, {}, "{}");
  }
  std::string rest = path.substr(kPrefix.size());
  const bool isStatus =
    rest.size() > 7 && rest.compare(rest.size() - 7, 7, "/status") == 0;
  if (isStatus) {
    rest.resize(rest.size() - 7);
  }
  const size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
    slash == std::string::npos ? "" : rest.substr(slash + 1);
  const std::vector<std::pair<std::string, std::string>> headers{
    { "Content-Type", "application/json" }
  };
  std::unique_lock lock(m_mutex);
  if (m_isUnavailable) {
    return MakeResponse(503, headers, "{}");
  }
  if (aRequest.Method() == "DELETE") {
    Object& object = m_kinds[kind][name];
    if (object.m_revision == 0 || object.m_isDeleted) {
      return MakeResponse(404, headers, "{}");
    }
    object.m_revision = ++m_revision;
    object.m_isDeleted = true;
    m_changed.notify_all();
    return MakeResponse(200, headers, "{}");
  }
  if (aRequest.Method() != "GET") {
    return Write(aRequest, kind, name, isStatus);
  }
  const std::string watch = QueryValue(target, "watch");
  if (!watch.empty()) {
    const uint64_t after = std::strtoull(watch.c_str(), nullptr, 10);
    const auto wait = std::chrono::milliseconds(
      std::strtoll(QueryValue(target, "waitMs").c_str(), nullptr, 10));
    json::array events;
    const auto collect = [&] {
      events.clear();
      for (const auto& [key, object] : m_kinds[kind]) {
        if (object.m_revision > after) {
          events.push_back({ { "deleted", object.m_isDeleted },
                             { "object", ToJson(key, object) } });
        }
      }
      return !events.empty() || m_isUnavailable;
    };
    m_changed.wait_for(lock, wait, collect);
    if (m_isUnavailable) {
      return MakeResponse(503, headers, "{}");
    }
    return MakeResponse(
      200,
      headers,
      json::serialize(json::value{ { "events", std::move(events) },
                                   { "asOf", m_revision } }));
  }
  if (name.empty()) {
    const std::string after = QueryValue(target, "after");
    json::array items;
    for (const auto& [key, object] : m_kinds[kind]) {
      if (!object.m_isDeleted && key > after) {
        items.push_back(ToJson(key, object));
      }
    }
    return MakeResponse(
      200,
      headers,
      json::serialize(json::value{ { "items", std::move(items) },
                                   { "truncated", false },
                                   { "asOf", m_revision } }));
  }
  const Object& object = m_kinds[kind][name];
  if (object.m_revision == 0 || object.m_isDeleted) {
    return MakeResponse(404, headers, "{}");
  }
  return MakeResponse(200, headers, json::serialize(ToJson(name, object)));
}

std::string
Store::Write(const Message& aRequest,
             const std::string& aKind,
             std::string aName,
             bool aIsStatus)
{
  const std::vector<std::pair<std::string, std::string>> headers{
    { "Content-Type", "application/json" }
  };
  const json::object body = json::parse(aRequest.m_body).as_object();
  const json::object metadata = body.contains("metadata")
                                  ? body.at("metadata").as_object()
                                  : json::object();
  const bool isCreation = aRequest.Method() == "POST";
  if (isCreation) {
    aName = std::string(metadata.at("name").as_string());
  }
  Object& object = m_kinds[aKind][aName];
  const bool exists = object.m_revision > 0 && !object.m_isDeleted;
  const bool isStale =
    exists && metadata.contains("revision") &&
    metadata.at("revision").to_number<uint64_t>() != object.m_revision;
  if (exists && (isCreation || isStale)) {
    return MakeResponse(409, headers, json::serialize(ToJson(aName, object)));
  }
  if (!exists && !isCreation) {
    return MakeResponse(404, headers, "{}");
  }
  object.m_revision = ++m_revision;
  object.m_isDeleted = false;
  if (aIsStatus) {
    object.m_status = body.at("status");
  } else {
    object.m_spec = body.at("spec");
  }
  m_changed.notify_all();
  return MakeResponse(200, headers, json::serialize(ToJson(aName, object)));
}

Process::~Process()
{
  Kill();
}

void
Process::Start(const std::vector<std::string>& aCommand,
               const std::string& aLogFile,
               const std::vector<std::string>& aEnvironment)
{
  std::vector<char*> arguments;
  for (const std::string& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  std::vector<char*> environment;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    environment.push_back(*variable);
  }
  for (const std::string& variable : aEnvironment) {
    environment.push_back(const_cast<char*>(variable.c_str()));
  }
  environment.push_back(nullptr);
  const pid_t parent = ::getpid();
  m_id = ::fork();
  if (m_id != 0) {
    return;
  }
  // Only calls that are safe after a fork of a process with threads follow.
  // The process ends with the case, whatever ends the case.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) {
    ::_exit(127);
  }
  const int log = ::open(aLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::execve(arguments[0], arguments.data(), environment.data());
  ::_exit(127);
}

void
Process::Signal(int aSignal) const
{
  if (m_id > 0) {
    ::kill(m_id, aSignal);
  }
}

void
Process::Kill()
{
  if (m_id > 0) {
    ::kill(m_id, SIGKILL);
    ::waitpid(m_id, nullptr, 0);
    m_id = 0;
  }
}

bool
Process::HasEnded()
{
  if (m_id > 0 && ::waitpid(m_id, &m_endStatus, WNOHANG) == m_id) {
    m_id = 0;
  }
  return m_id == 0;
}

std::string
RenderTemplate(const std::string& aTemplate, const json::value& aFields)
{
  std::string output;
  size_t at = 0;
  for (;;) {
    const size_t begin = aTemplate.find("{{", at);
    if (begin == std::string::npos) {
      return output + aTemplate.substr(at);
    }
    output += aTemplate.substr(at, begin - at);
    const size_t end = aTemplate.find("}}", begin);
    std::string tag = aTemplate.substr(begin + 2, end - begin - 2);
    at = end + 2;
    if (tag[0] == '#' || tag[0] == '^') {
      const std::string name = tag.substr(1);
      const std::string close = "{{/" + name + "}}";
      const size_t sectionEnd = aTemplate.find(close, at);
      const std::string section = aTemplate.substr(at, sectionEnd - at);
      at = sectionEnd + close.size();
      const json::value* value = FindValue(aFields, name);
      if (tag[0] == '^') {
        output += IsSet(value) ? "" : RenderTemplate(section, aFields);
        continue;
      }
      const json::array* list = value == nullptr ? nullptr : value->if_array();
      if (list == nullptr) {
        output += IsSet(value) ? RenderTemplate(section, aFields) : "";
        continue;
      }
      for (size_t i = 0; i < list->size(); ++i) {
        json::value fields = aFields;
        fields.as_object()["."] = (*list)[i];
        fields.as_object()[","] = i + 1 < list->size() ? "," : "";
        output += RenderTemplate(section, fields);
      }
      continue;
    }
    const size_t bar = tag.find('|');
    const bool isJson = bar != std::string::npos;
    const std::string name = tag.substr(0, bar);
    const json::value* value = name == "." || name == ","
                                 ? aFields.as_object().if_contains(name)
                                 : FindValue(aFields, name);
    if (value == nullptr) {
      continue;
    }
    output += !isJson && value->is_string() ? std::string(value->get_string())
                                            : json::serialize(*value);
  }
}

Deployment::Deployment(std::string aCaseFolder)
  : m_caseFolder(std::move(aCaseFolder))
{
  char folder[] = "/tmp/review-XXXXXX";
  m_temporaryFolder = ::mkdtemp(folder);
  m_network = static_cast<int>(::getpid());
  ::unlink((m_caseFolder + "/record.txt").c_str());
  SetRecordFile(m_caseFolder + "/record.txt");
  std::signal(SIGPIPE, SIG_IGN);
  m_store.Start(Address(2), kStorePort);
}

void
Deployment::Finish(int aExitCode)
{
  for (auto& [name, process] : m_processes) {
    process.Kill();
  }
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::fprintf(stderr, "logs: %s\n", m_temporaryFolder.c_str());
  } else {
    std::error_code ignored;
    std::filesystem::remove_all(m_temporaryFolder, ignored);
  }
  std::fflush(stdout);
  // The threads of the stand-ins still run.
  std::_Exit(aExitCode);
}

std::string
Deployment::Address(int aNumber) const
{
  return "127." + std::to_string(64 + m_network / 250 % 128) + "." +
         std::to_string(1 + m_network % 250) + "." + std::to_string(aNumber);
}

void
Deployment::StartHost(const HostOptions& aOptions)
{
  const std::string& ip = aOptions.m_address;
  const std::string role = aOptions.m_isEntry ? "entry" : "rollout";
  if (!aOptions.m_isEntry && m_seeds.size() < 3) {
    m_seeds.push_back(ip + ":8166");
  }
  json::object listen;
  if (aOptions.m_isEntry) {
    listen = { { "front", ip + ":" + std::to_string(kFrontPort) },
               { "readiness", ip + ":" + std::to_string(kReadinessPort) },
               { "directory", ip + ":8164" } };
  } else {
    listen = { { "control", ip + ":8166" } };
  }
  const json::value fields{
    { "node", aOptions.m_name },
    { "role", role },
    { "ip", ip },
    { "zone", aOptions.m_zone },
    { "region", "region-1" },
    { "listen", listen },
    { "internalPorts", { 7720, 7735 } },
    { "seeds", json::array(m_seeds.begin(), m_seeds.end()) },
    { "bootstrap", true },
    { "limits",
      { { "memoryMb", aOptions.m_isEntry ? 260 : 280 },
        { "maxFds", aOptions.m_isEntry ? 4100 : 8200 } } },
    { "bounds", { { "requireFence", true }, { "leaseMs", 3000 } } },
    { "platform",
      { { "addr", Address(2) + ":" + std::to_string(kStorePort) } } }
  };
  const std::string settings =
    m_temporaryFolder + "/" + aOptions.m_name + ".json";
  std::ofstream(settings) << RenderTemplate(
    ReadFile("deploy/" + role + ".json"), fields);
  m_processes[aOptions.m_name].Start(
    { "target/platform/heatherdeal-platform-" + role, "--settings", settings },
    m_temporaryFolder + "/" + aOptions.m_name + ".log",
    { "HEATHERDEAL_SETTINGS=" + settings });
}

bool
Deployment::AwaitReady(const std::string& aAddress, int64_t aTimeoutMs) const
{
  const int64_t deadline = NowMs() + aTimeoutMs;
  while (NowMs() < deadline) {
    if (const auto channel = Connect(aAddress, kReadinessPort, 1000)) {
      channel->Send("GET /heatherdeal/ready HTTP/1.1\r\nHost: " + aAddress +
                    "\r\nConnection: close\r\n\r\n");
      if (channel->Read(NowMs() + 1000).Status() == 200) {
        return true;
      }
    }
    SleepMs(100);
  }
  return false;
}

Process&
Deployment::StartWorker(const std::string& aId,
                        const std::string& aService,
                        const std::string& aAddress,
                        const std::vector<std::string>& aArguments,
                        json::value aExtraFields)
{
  std::vector<std::string> command{
    "/proc/self/exe", "worker", aId, aAddress, m_caseFolder + "/record.txt"
  };
  command.insert(command.end(), aArguments.begin(), aArguments.end());
  Process& process = m_processes[aId];
  process.Start(command, m_temporaryFolder + "/" + aId + ".log");
  json::object entry = aExtraFields.as_object();
  entry["service"] = aService;
  entry["addr"] = aAddress + ":" + std::to_string(kWorkerPort);
  entry["state"] = "ready";
  entry["coldLeftMs"] = 0;
  entry["sequence"] = 1;
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  const int64_t born = now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
  m_store.Put("servers", aId, std::move(entry), born);
  return process;
}

bool
IsTroubleWanted()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
