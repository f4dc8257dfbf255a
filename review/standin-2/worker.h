#pragma once

#include <string>

namespace review {

/// Returns the data of an event of a text, which follows from the request's id
/// and the number of the event alone, at any worker.
std::string
EventData(const std::string& aSeed, int aEvent, int aBytes);

/// Runs a worker in this process; argv is "worker ID ADDRESS RECORD OPTION...".
/// Options: unframed (answers have no length and end with their channel),
/// halves (an event is sent in two parts), first=MS (time to the first event),
/// gap=MS (time between events), bytes=N (of an event's data), plain (answers
/// without a stream), work=MS (of a plain answer).
int
RunWorker(int aArgc, char** aArgv);

} // namespace review
