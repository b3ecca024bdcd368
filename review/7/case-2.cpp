#include <cstdlib>
#include <iostream>

#include "Fleet.h"

// One runner of six sends bytes without end in its answers.

using namespace review;

namespace {

constexpr int PoolRunners = 6;
constexpr int DraftClients = 6; ///< At each daemon.
constexpr int LinesPerWrite = 500;
constexpr int DraftBudgetMs = 12000;

/// The lines of events, but never the blank line that ends one, until the caller closes.
bool answerWithoutEnd(const HttpMessage &request, Connection &connection)
{
    bool sent =
        connection.write(answerHead(request, 200)
                         + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string bytes;
    for (int i = 0; i < LinesPerWrite; ++i) {
        bytes += chunk("data: token" + std::to_string(i) + "\n");
    }
    while (sent) {
        sent = connection.write(bytes);
    }
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    const Folders folders = Folders::from(argc, argv);
    Record record(folders.caseFolder / "record.txt");
    Fleet fleet(folders, record, Site(), 3);
    std::atomic<bool> inTrouble = false;
    for (int i = 0; i < PoolRunners; ++i) {
        fleet.addRunner("pool", [&, i](const HttpMessage &request, Connection &connection) {
            const std::string id = request.field("Attempt-Id");
            if (i > 0 || !inTrouble) {
                record.line("runner " + std::to_string(i) + " runs " + id);
                return answerStream(request, connection, 20, Milliseconds(100), Milliseconds(30));
            }
            record.line("runner 0 answers " + id + " with bytes without end");
            const bool open = answerWithoutEnd(request, connection);
            record.line("runner 0: its caller closed the connection of " + id);
            return open;
        });
    }
    fleet.addDesk(3, Milliseconds(15));
    fleet.start();

    Bookings bookings(fleet, record, 4, Milliseconds(250));
    std::atomic<bool> ends = false;
    std::vector<std::thread> drafts;
    for (std::size_t i = 0; i < fleet.daemons(); ++i) {
        for (int j = 0; j < DraftClients; ++j) {
            drafts.emplace_back([&, i, j] {
                for (int k = 0; !ends; ++k) {
                    Call draft;
                    draft.id =
                        "d" + std::to_string(i) + std::to_string(j) + "-" + std::to_string(k);
                    draft.path = "/draft/1";
                    draft.budgetMs = DraftBudgetMs;
                    draft.fields = {
                        {"Model", "m1"},
                        {"Token-Count", "1460,80"},
                        {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410," + draft.id + ":250"}};
                    const Outcome outcome =
                        call(fleet.daemon(i).front(), draft, Milliseconds(DraftBudgetMs));
                    record.line("draft " + draft.id + " at " + fleet.daemon(i).name() + ": "
                                + outcome.text());
                }
            });
        }
    }
    std::this_thread::sleep_for(Milliseconds(4000));
    inTrouble = !withoutTrouble();
    record.line(inTrouble ? "runner 0 is in trouble from now on" : "no disruption");
    for (int i = 0; i < 15; ++i) {
        std::this_thread::sleep_for(Milliseconds(1000));
        fleet.recordUse();
    }
    ends = true;
    for (std::thread &draft : drafts) {
        draft.join();
    }
    const LateCounts counts = bookings.end();
    record.line("bookings: " + counts.text());
    std::cout << "bookings: " << counts.text() << std::endl;
    fleet.stop();
    std::_Exit(counts.breaksRule() ? 1 : 0);
}
