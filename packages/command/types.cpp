#include "command/events.h"

namespace clementinelift::command {

std::string_view toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Lost:
        return "lost";
    case RunEnd::NotRun:
        return "not_run";
    case RunEnd::NotAsked:
        break;
    }
    return "not_asked";
}

std::string_view toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::NoRoom:
        return "no_room";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::OldRun:
        return "old_run";
    case OrderOutcome::Late:
        return "late";
    case OrderOutcome::Unhealthy:
        return "unhealthy";
    case OrderOutcome::Malformed:
        return "malformed";
    case OrderOutcome::OtherInstance:
        return "other_instance";
    case OrderOutcome::NotSent:
        return "not_sent";
    case OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

std::string_view toString(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::Completed:
        return "completed";
    case AnswerKind::Failed:
        return "failed";
    case AnswerKind::GivenUp:
        return "given_up";
    case AnswerKind::Refused:
        return "refused";
    case AnswerKind::NotReady:
        return "not_ready";
    case AnswerKind::UnknownRoute:
        return "unknown_route";
    case AnswerKind::UnknownJob:
        return "unknown_job";
    case AnswerKind::Malformed:
        return "malformed";
    case AnswerKind::State:
        return "state";
    case AnswerKind::Pending:
        return "pending";
    case AnswerKind::Cancelled:
        break;
    }
    return "cancelled";
}

} // namespace clementinelift::command
