#include <criterion/criterion.h>

#include "Routing/ExecutionState.h"

using namespace lycheearch;

Test(executionState, a_request_that_was_never_sent_has_not_run)
{
    const ExecutionState state;
    cr_expect_not(state.mayHaveRun());
    cr_expect(state.maySendAgain(false));
}

// Guards against a second run after an end of an attempt that the code does not handle by itself.
Test(executionState, an_attempt_counts_as_executed_without_proof_of_the_contrary)
{
    ExecutionState state;
    state.onSent();
    cr_expect(state.mayHaveRun());
    cr_expect_not(state.maySendAgain(false));
    cr_expect(state.maySendAgain(true));
}

Test(executionState, proof_takes_back_the_latest_attempt_only)
{
    ExecutionState state;
    state.onSent();
    state.onProvenNotExecuted();
    cr_expect_not(state.mayHaveRun());
    state.onSent();
    state.onSent();
    state.onProvenNotExecuted();
    cr_expect(state.mayHaveRun());
    state.onProvenNotExecuted();
    cr_expect(state.mayHaveRun());
}
