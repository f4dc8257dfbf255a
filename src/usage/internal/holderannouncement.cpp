#include "usage/internal/holderannouncement.h"

#include "gossip/gossip.h"
#include "usage/internal/countscodec.h"

namespace heatherdeal::usage {

namespace {

constexpr std::string_view kTopicName = "usage";

} // namespace

HolderAnnouncement::HolderAnnouncement(kernel::Context& aContext)
  : m_context(aContext)
{
}

void
HolderAnnouncement::Start()
{
  const auto self = shared_from_this();
  m_context.Get<gossip::Gossip>()->AddTopic(
    { std::string(kTopicName),
      [self](size_t aMaxBytes) { return self->Compose(aMaxBytes); },
      [self](std::string_view aBytes) { self->Receive(aBytes); } });
}

void
HolderAnnouncement::Subscribe(Listener aListener)
{
  m_listeners.push_back(std::move(aListener));
}

void
HolderAnnouncement::Announce(const Holder& aHolder)
{
  if (aHolder.m_epoch <= m_known.m_epoch) {
    return;
  }
  m_known = aHolder;
  for (const Listener& listener : m_listeners) {
    listener(m_known);
  }
  m_context.Get<gossip::Gossip>()->SpreadNews();
}

std::string
HolderAnnouncement::Compose(size_t aMaxBytes) const
{
  if (m_known.m_epoch == 0) {
    return {};
  }
  std::string encoded = EncodeHolder(m_known);
  return encoded.size() <= aMaxBytes ? encoded : std::string();
}

void
HolderAnnouncement::Receive(std::string_view aBytes)
{
  const absl::StatusOr<Holder> holder = DecodeHolder(aBytes);
  if (!holder.ok()) {
    m_context.Metrics().Get("usage.invalid_messages").Add();
    return;
  }
  Announce(*holder);
}

} // namespace heatherdeal::usage
