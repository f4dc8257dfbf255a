#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace heatherdeal::core {

/// A name that cannot be mistaken for a name of another kind.
template<typename Tag>
struct Name
{
  std::string m_value;

  auto operator<=>(const Name&) const = default;
};

using HostId = Name<struct HostTag>;
using UpstreamId = Name<struct UpstreamTag>;
using JobId = Name<struct JobTag>;
using TrainerId = Name<struct TrainerTag>;
using ServiceId = Name<struct ServiceTag>;
using FailureDomainId = Name<struct FailureDomainTag>;

/// One part of a job, generated and delivered by one owner at a time.
struct ShardId
{
  JobId m_job;
  uint32_t m_index = 0;

  auto operator<=>(const ShardId&) const = default;
};

/// Position of a group within its shard, counted from 0.
using GroupOrdinal = uint64_t;

/// One sample of a shard.
struct SampleId
{
  GroupOrdinal m_group = 0;
  uint32_t m_member = 0;

  auto operator<=>(const SampleId&) const = default;
};

/// IPv4 or IPv6 address in text form, with its port.
struct Endpoint
{
  std::string m_address;
  uint16_t m_port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

} // namespace heatherdeal::core
