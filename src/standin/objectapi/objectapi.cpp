#include "standin/objectapi/objectapi.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/json/serialize.hpp"

#include "http/server.h"
#include "kernel/json.h"
#include "kernel/sleep.h"

namespace heatherdeal::standin {

namespace {

namespace asio = boost::asio;

constexpr int64_t kMaxWaitMilliseconds = 60'000;

objectstore::ObjectKey
ParseObjectKey(std::string_view aTarget)
{
  std::string_view path = http::PathOf(aTarget);
  path.remove_prefix(std::string_view("/objects/").size());
  const size_t slash = path.find('/');
  if (slash == std::string_view::npos) {
    return { std::string(path), "" };
  }
  return { std::string(path.substr(0, slash)),
           std::string(path.substr(slash + 1)) };
}

boost::json::value
ToJsonValue(const objectstore::StoredObject& aObject)
{
  return { { "name", aObject.m_key.m_name },
           { "version", aObject.m_version },
           { "value", aObject.m_value },
           { "token", aObject.m_writeToken } };
}

http::Response
MakeJsonResponse(uint32_t aStatus, const boost::json::value& aBody)
{
  http::Response response;
  response.m_head.m_status = aStatus;
  response.m_head.m_headers.push_back({ "Content-Type", "application/json" });
  response.m_body = boost::json::serialize(aBody);
  return response;
}

struct WriteMessage
{
  uint64_t m_ifVersion = 0;
  std::string m_value;
  std::string m_token;
};

WriteMessage
ParseWriteMessage(kernel::SettingsReader& aReader)
{
  WriteMessage write;
  write.m_ifVersion =
    static_cast<uint64_t>(aReader.Integer("if_version", { 0, INT64_MAX }));
  write.m_value = aReader.TextOr("value", "");
  write.m_token = aReader.TextOr("token", "");
  return write;
}

asio::awaitable<void>
CompleteAtDeadline(core::Instant aDeadline,
                   std::shared_ptr<kernel::AwaitableValue<bool>> aChanged)
{
  co_await kernel::SleepUntil(aDeadline);
  aChanged->Set(false);
}

} // namespace

asio::awaitable<bool>
ObjectApi::RespondWithFault(http::Exchange& aExchange)
{
  Faults faults;
  {
    const std::scoped_lock lock(m_mutex);
    faults = m_faults;
    if (m_faults.m_throttledRequests > 0) {
      m_faults.m_throttledRequests -= 1;
    }
  }
  if (faults.m_delay.count() > 0) {
    co_await kernel::SleepUntil(kernel::Now() + faults.m_delay);
  }
  if (!faults.m_down && faults.m_throttledRequests == 0) {
    co_return false;
  }
  http::Response response;
  response.m_head.m_status = faults.m_down ? 503 : 429;
  co_await aExchange.RespondIgnoringErrors(std::move(response));
  co_return true;
}

asio::awaitable<void>
ObjectApi::HandleRead(http::Exchange& aExchange)
{
  if (co_await RespondWithFault(aExchange)) {
    co_return;
  }
  const objectstore::ObjectKey key =
    ParseObjectKey(aExchange.ReceivedRequest().m_target);
  http::Response response;
  {
    const std::scoped_lock lock(m_mutex);
    m_readCount += 1;
    const auto found = m_objects.find(key);
    response = found == m_objects.end()
                 ? http::MakeFailureResponse(core::NotFound{ key.m_name })
                 : MakeJsonResponse(200, ToJsonValue(found->second));
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
ObjectApi::HandleWrite(http::Exchange& aExchange)
{
  if (co_await RespondWithFault(aExchange)) {
    co_return;
  }
  const objectstore::ObjectKey key =
    ParseObjectKey(aExchange.ReceivedRequest().m_target);
  const absl::StatusOr<WriteMessage> write = kernel::ParseMessage<WriteMessage>(
    aExchange.ReceivedRequest().m_body, "write", ParseWriteMessage);
  if (!write.ok()) {
    http::Response refusal =
      http::MakeFailureResponse(http::FailureOf(write.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(refusal));
    co_return;
  }
  http::Response response;
  bool loseResponse = false;
  {
    const std::scoped_lock lock(m_mutex);
    m_writeCount += 1;
    objectstore::StoredObject& object = m_objects[key];
    object.m_key = key;
    if (object.m_version != write->m_ifVersion) {
      response = MakeJsonResponse(409, ToJsonValue(object));
    } else {
      object.m_version = ++m_lastRevision;
      object.m_value = write->m_value;
      object.m_writeToken = write->m_token;
      m_revisionsByKind[key.m_kind] = m_lastRevision;
      response = MakeJsonResponse(200, { { "version", object.m_version } });
      CompleteLongPolls(key.m_kind);
      if (m_faults.m_lostReplies > 0) {
        m_faults.m_lostReplies -= 1;
        loseResponse = true;
      }
    }
    if (object.m_version == 0) {
      m_objects.erase(key);
    }
  }
  if (loseResponse) {
    // The server closes the connection of a response that does not end.
    http::ResponseHead head;
    (void)co_await aExchange.StartStream(std::move(head));
    co_return;
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

std::string
ObjectApi::SerializeList(const std::string& aKind) const
{
  boost::json::array objects;
  for (const auto& [key, object] : m_objects) {
    if (key.m_kind == aKind) {
      objects.push_back(ToJsonValue(object));
    }
  }
  const auto revision = m_revisionsByKind.find(aKind);
  return boost::json::serialize(boost::json::value{
    { "revision", revision == m_revisionsByKind.end() ? 0 : revision->second },
    { "objects", std::move(objects) } });
}

void
ObjectApi::CompleteLongPolls(const std::string& aKind)
{
  std::erase_if(m_longPolls, [&](const LongPoll& aLongPoll) {
    if (aLongPoll.m_kind != aKind) {
      return false;
    }
    aLongPoll.m_changed->Set(true);
    return true;
  });
}

asio::awaitable<void>
ObjectApi::HandleWatch(http::Exchange& aExchange)
{
  if (co_await RespondWithFault(aExchange)) {
    co_return;
  }
  const std::string target = aExchange.ReceivedRequest().m_target;
  const std::string kind(
    http::PathOf(target).substr(std::string_view("/watch/").size()));
  const uint64_t after = http::QueryNumber(target, "after").value_or(0);
  const auto waitTime = std::chrono::milliseconds(std::min<uint64_t>(
    http::QueryNumber(target, "wait_ms").value_or(0), kMaxWaitMilliseconds));
  auto& loop = m_context.Traffic().Loop(aExchange.LoopIndex());
  auto changed = std::make_shared<kernel::AwaitableValue<bool>>(loop);
  bool mustWait = false;
  {
    const std::scoped_lock lock(m_mutex);
    m_readCount += 1;
    mustWait = waitTime.count() > 0 && m_revisionsByKind[kind] <= after;
    if (mustWait) {
      m_longPolls.push_back({ kind, changed });
    }
  }
  if (mustWait) {
    asio::co_spawn(loop,
                   CompleteAtDeadline(kernel::Now() + waitTime, changed),
                   asio::detached);
    co_await changed->Wait();
  }
  http::Response response;
  {
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_longPolls, [&changed](const LongPoll& aLongPoll) {
      return aLongPoll.m_changed == changed;
    });
    response.m_body = SerializeList(kind);
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
ObjectApi::HandleFaults(http::Exchange& aExchange)
{
  const absl::StatusOr<Faults> faults = kernel::ParseMessage<Faults>(
    aExchange.ReceivedRequest().m_body,
    "faults",
    [](kernel::SettingsReader& aReader) {
      const kernel::Range count{ 0, 1'000'000 };
      Faults parsed;
      parsed.m_down = aReader.FlagOr("down", false);
      parsed.m_delay = aReader.MillisecondsOr("delay_ms", count, {});
      parsed.m_lostReplies =
        static_cast<uint32_t>(aReader.IntegerOr("lost_replies", count, 0));
      parsed.m_throttledRequests =
        static_cast<uint32_t>(aReader.IntegerOr("throttled", count, 0));
      return parsed;
    });
  http::Response response;
  if (!faults.ok()) {
    response = http::MakeFailureResponse(http::FailureOf(faults.status()));
  } else {
    SetFaults(*faults);
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

void
ObjectApi::SetFaults(const Faults& aFaults)
{
  const std::scoped_lock lock(m_mutex);
  m_faults = aFaults;
}

void
ObjectApi::AddObject(const InitialObject& aObject)
{
  objectstore::StoredObject& object = m_objects[aObject.m_key];
  object.m_key = aObject.m_key;
  object.m_version = ++m_lastRevision;
  object.m_value = aObject.m_value;
  m_revisionsByKind[aObject.m_key.m_kind] = m_lastRevision;
}

void
ObjectApi::AddRoutes()
{
  const auto self = shared_from_this();
  const auto server = m_context.Get<http::Server>();
  server->AddRoute({ "GET", "/objects/", [self](http::Exchange& aExchange) {
                      return self->HandleRead(aExchange);
                    } });
  server->AddRoute({ "PUT", "/objects/", [self](http::Exchange& aExchange) {
                      return self->HandleWrite(aExchange);
                    } });
  server->AddRoute({ "GET", "/watch/", [self](http::Exchange& aExchange) {
                      return self->HandleWatch(aExchange);
                    } });
  server->AddRoute({ "POST", "/faults", [self](http::Exchange& aExchange) {
                      return self->HandleFaults(aExchange);
                    } });
}

} // namespace heatherdeal::standin
