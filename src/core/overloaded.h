#pragma once

namespace heatherdeal::core {

/// Combines lambdas, one per alternative, into a visitor for std::visit.
template<typename... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};

template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace heatherdeal::core
