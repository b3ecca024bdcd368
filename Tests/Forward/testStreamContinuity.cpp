#include <criterion/criterion.h>

#include "Forward/StreamContinuity.h"

using namespace lycheearch;

namespace {

using EventUse = StreamContinuity::EventUse;

HttpResponseHead head(const std::string &type = "text/event-stream")
{
    HttpResponseHead response;
    response.status = 200;
    response.fields.add("Content-Type", type);
    return response;
}

StreamEvent event(std::optional<std::int64_t> id)
{
    return {"data: x\n\n", id, false};
}

} // namespace

Test(streamContinuity, events_follow_each_other_by_their_ids)
{
    StreamContinuity stream(std::nullopt);
    cr_expect(stream.beginAttempt(head()));
    cr_expect_not(stream.completes(true));
    cr_expect(stream.use(event(1)) == EventUse::Relay);
    cr_expect(stream.use(event(4)) == EventUse::Relay);
    cr_expect(stream.use(event(4)) == EventUse::Misplaced);
    cr_expect(stream.use(event(2)) == EventUse::Misplaced);
    cr_expect(stream.use(event(std::nullopt)) == EventUse::Misplaced);
    cr_expect(stream.lastEventId() == 4);
    cr_expect(stream.completes(false));
}

Test(streamContinuity, another_run_goes_on_after_the_last_event_only)
{
    StreamContinuity stream(std::nullopt);
    stream.beginAttempt(head());
    stream.use(event(2));
    cr_expect_not(stream.beginAttempt(head("text/plain")));
    cr_expect(stream.beginAttempt(head("Text/Event-Stream; charset=utf-8")));
    cr_expect(stream.use(event(1)) == EventUse::Misplaced);
    cr_expect(stream.use(event(3)) == EventUse::Relay);
}

Test(streamContinuity, a_run_without_events_completes_a_stream_only_if_its_end_is_marked)
{
    StreamContinuity stream(std::nullopt);
    stream.beginAttempt(head());
    stream.use(event(1));
    stream.beginAttempt(head());
    cr_expect_not(stream.completes(false));
    cr_expect(stream.completes(true));
}

Test(streamContinuity, events_that_a_resuming_caller_has_are_skipped)
{
    StreamContinuity stream(5);
    stream.beginAttempt(head());
    cr_expect(stream.use(event(5)) == EventUse::Skip);
    cr_expect_not(stream.begun());
    cr_expect(stream.use(event(6)) == EventUse::Relay);
}

Test(streamContinuity, a_stream_without_ids_cannot_be_continued)
{
    StreamContinuity stream(std::nullopt);
    cr_expect(stream.canContinue());
    stream.beginAttempt(head());
    cr_expect(stream.use(event(std::nullopt)) == EventUse::Relay);
    cr_expect(stream.use(event(std::nullopt)) == EventUse::Relay);
    cr_expect_not(stream.canContinue());
    cr_expect(stream.use(event(1)) == EventUse::Misplaced);
}

Test(streamContinuity, comments_are_relayed_once_the_stream_has_begun)
{
    const StreamEvent comment{": alive\n\n", std::nullopt, true};
    StreamContinuity stream(std::nullopt);
    stream.beginAttempt(head());
    cr_expect(stream.use(comment) == EventUse::Skip);
    stream.use(event(1));
    cr_expect(stream.use(comment) == EventUse::Relay);
    cr_expect(stream.canContinue());
}
