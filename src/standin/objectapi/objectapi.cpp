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
KeyOf(std::string_view aTarget)
{
  std::string_view rest = http::PathOf(aTarget);
  rest.remove_prefix(std::string_view("/objects/").size());
  const size_t slash = rest.find('/');
  if (slash == std::string_view::npos) {
    return { std::string(rest), "" };
  }
  return { std::string(rest.substr(0, slash)),
           std::string(rest.substr(slash + 1)) };
}

boost::json::value
ToValue(const objectstore::StoredObject& aObject)
{
  return { { "name", aObject.m_key.m_name },
           { "version", aObject.m_version },
           { "value", aObject.m_value },
           { "token", aObject.m_writeToken } };
}

http::Response
JsonAnswer(uint32_t aStatus, const boost::json::value& aBody)
{
  http::Response answer;
  answer.m_head.m_status = aStatus;
  answer.m_head.m_headers.push_back({ "Content-Type", "application/json" });
  answer.m_body = boost::json::serialize(aBody);
  return answer;
}

struct WriteMessage
{
  uint64_t m_ifVersion = 0;
  std::string m_value;
  std::string m_token;
};

WriteMessage
ReadWrite(kernel::SettingsReader& aReader)
{
  WriteMessage write;
  write.m_ifVersion =
    static_cast<uint64_t>(aReader.Integer("if_version", { 0, INT64_MAX }));
  write.m_value = aReader.TextOr("value", "");
  write.m_token = aReader.TextOr("token", "");
  return write;
}

asio::awaitable<void>
WakeAt(core::Instant aDeadline,
       std::shared_ptr<kernel::AwaitableValue<bool>> aReply)
{
  co_await kernel::SleepUntil(aDeadline);
  aReply->Set(false);
}

} // namespace

asio::awaitable<bool>
ObjectApi::ActOutFault(http::Exchange& aExchange)
{
  Faults faults;
  {
    const std::scoped_lock lock(m_mutex);
    faults = m_faults;
    if (m_faults.m_throttled > 0) {
      m_faults.m_throttled -= 1;
    }
  }
  if (faults.m_delay.count() > 0) {
    co_await kernel::SleepUntil(kernel::Now() + faults.m_delay);
  }
  if (!faults.m_down && faults.m_throttled == 0) {
    co_return false;
  }
  http::Response answer;
  answer.m_head.m_status = faults.m_down ? 503 : 429;
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
  co_return true;
}

asio::awaitable<void>
ObjectApi::Read(http::Exchange& aExchange)
{
  if (co_await ActOutFault(aExchange)) {
    co_return;
  }
  const objectstore::ObjectKey key =
    KeyOf(aExchange.ReceivedRequest().m_target);
  http::Response answer;
  {
    const std::scoped_lock lock(m_mutex);
    m_reads += 1;
    const auto found = m_objects.find(key);
    answer = found == m_objects.end()
               ? http::MakeFailureResponse(core::NotFound{ key.m_name })
               : JsonAnswer(200, ToValue(found->second));
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

asio::awaitable<void>
ObjectApi::Write(http::Exchange& aExchange)
{
  if (co_await ActOutFault(aExchange)) {
    co_return;
  }
  const objectstore::ObjectKey key =
    KeyOf(aExchange.ReceivedRequest().m_target);
  const absl::StatusOr<WriteMessage> write = kernel::ParseMessage<WriteMessage>(
    aExchange.ReceivedRequest().m_body, "write", ReadWrite);
  if (!write.ok()) {
    http::Response refusal =
      http::MakeFailureResponse(http::FailureOf(write.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(refusal));
    co_return;
  }
  http::Response answer;
  bool loseReply = false;
  {
    const std::scoped_lock lock(m_mutex);
    m_writes += 1;
    objectstore::StoredObject& object = m_objects[key];
    object.m_key = key;
    if (object.m_version != write->m_ifVersion) {
      answer = JsonAnswer(409, ToValue(object));
    } else {
      object.m_version = ++m_revision;
      object.m_value = write->m_value;
      object.m_writeToken = write->m_token;
      m_revisions[key.m_kind] = m_revision;
      answer = JsonAnswer(200, { { "version", object.m_version } });
      WakeWaiters(key.m_kind);
      if (m_faults.m_lostReplies > 0) {
        m_faults.m_lostReplies -= 1;
        loseReply = true;
      }
    }
    if (object.m_version == 0) {
      m_objects.erase(key);
    }
  }
  if (loseReply) {
    // An answer that is begun and never ended closes the connection.
    http::ResponseHead head;
    (void)co_await aExchange.StartStream(std::move(head));
    co_return;
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

std::string
ObjectApi::ListJson(const std::string& aKind) const
{
  boost::json::array objects;
  for (const auto& [key, object] : m_objects) {
    if (key.m_kind == aKind) {
      objects.push_back(ToValue(object));
    }
  }
  const auto revision = m_revisions.find(aKind);
  return boost::json::serialize(boost::json::value{
    { "revision", revision == m_revisions.end() ? 0 : revision->second },
    { "objects", std::move(objects) } });
}

void
ObjectApi::WakeWaiters(const std::string& aKind)
{
  std::erase_if(m_waiters, [&](const Waiter& aWaiter) {
    if (aWaiter.m_kind != aKind) {
      return false;
    }
    aWaiter.m_reply->Set(true);
    return true;
  });
}

asio::awaitable<void>
ObjectApi::Watch(http::Exchange& aExchange)
{
  if (co_await ActOutFault(aExchange)) {
    co_return;
  }
  const std::string target = aExchange.ReceivedRequest().m_target;
  const std::string kind(
    http::PathOf(target).substr(std::string_view("/watch/").size()));
  const uint64_t after = http::QueryNumber(target, "after").value_or(0);
  const auto wait = std::chrono::milliseconds(std::min<uint64_t>(
    http::QueryNumber(target, "wait_ms").value_or(0), kMaxWaitMilliseconds));
  auto& loop = m_context.Traffic().Loop(aExchange.LoopIndex());
  auto reply = std::make_shared<kernel::AwaitableValue<bool>>(loop);
  bool mustWait = false;
  {
    const std::scoped_lock lock(m_mutex);
    m_reads += 1;
    mustWait = wait.count() > 0 && m_revisions[kind] <= after;
    if (mustWait) {
      m_waiters.push_back({ kind, reply });
    }
  }
  if (mustWait) {
    asio::co_spawn(loop, WakeAt(kernel::Now() + wait, reply), asio::detached);
    co_await reply->Wait();
  }
  http::Response answer;
  {
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_waiters, [&reply](const Waiter& aWaiter) {
      return aWaiter.m_reply == reply;
    });
    answer.m_body = ListJson(kind);
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

asio::awaitable<void>
ObjectApi::TakeFaults(http::Exchange& aExchange)
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
      parsed.m_throttled =
        static_cast<uint32_t>(aReader.IntegerOr("throttled", count, 0));
      return parsed;
    });
  http::Response answer;
  if (!faults.ok()) {
    answer = http::MakeFailureResponse(http::FailureOf(faults.status()));
  } else {
    SetFaults(*faults);
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

void
ObjectApi::SetFaults(const Faults& aFaults)
{
  const std::scoped_lock lock(m_mutex);
  m_faults = aFaults;
}

void
ObjectApi::Add(const InitialObject& aObject)
{
  objectstore::StoredObject& object = m_objects[aObject.m_key];
  object.m_key = aObject.m_key;
  object.m_version = ++m_revision;
  object.m_value = aObject.m_value;
  m_revisions[aObject.m_key.m_kind] = m_revision;
}

void
ObjectApi::AddRoutes()
{
  const auto self = shared_from_this();
  const auto server = m_context.Get<http::Server>();
  server->AddRoute({ "GET", "/objects/", [self](http::Exchange& aExchange) {
                      return self->Read(aExchange);
                    } });
  server->AddRoute({ "PUT", "/objects/", [self](http::Exchange& aExchange) {
                      return self->Write(aExchange);
                    } });
  server->AddRoute({ "GET", "/watch/", [self](http::Exchange& aExchange) {
                      return self->Watch(aExchange);
                    } });
  server->AddRoute({ "POST", "/faults", [self](http::Exchange& aExchange) {
                      return self->TakeFaults(aExchange);
                    } });
}

} // namespace heatherdeal::standin
