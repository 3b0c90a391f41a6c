/** @file tool_base.h Commands of the tool, generic over store, VM list and transport. */
#pragma once

#include "burn/burn_report_func.h"
#include "config/accept_func.h"
#include "tool/edit_func.h"
#include "tool/output_func.h"
#include "tool/placement_func.h"

#include <fstream>
#include <iterator>
#include <ostream>
#include <string>
#include <vector>

namespace teaselreach::tool {

/** @return The content of a file. @throws UsageError if it cannot be read. */
std::string readFile(const std::string &path);
/** @return The records of one kind. */
std::vector<record::AnyRecord> recordsOfKind(const record::RecordSet &records,
                                             record::RecordKind kind);
/** Prints the fleet's burn report. @return Partial if a daemon gave no usable answer, else Done. */
ExitCode printBurnReport(std::ostream &out, OutputFormat format,
                         const std::vector<FleetAnswer> &answers);
/** @return Partial if a daemon did not answer, else Done. */
ExitCode exitCodeForAnswers(const std::vector<FleetAnswer> &answers);

/** Runs the commands of the command line. */
template <store::KeyValueStore Store, vmlist::VmListSource Source, rpc::Transport Transport>
class Tool
{
public:
    /** All arguments must outlive the tool. */
    Tool(Store &store, Source &source, Transport &transport, const ToolOptions &options,
         std::ostream &out)
        : store_(store)
        , source_(source)
        , transport_(transport)
        , options_(options)
        , out_(out)
    { }

    /**
     * Runs one command.
     * @param words The command with its arguments.
     * @return The exit code.
     * @throws core::Error if the command fails; table::exitCodeFor() maps it to an exit code.
     */
    ExitCode run(const std::vector<std::string> &words)
    {
        const std::string command = words.empty() ? "help" : words.front();
        const std::vector<std::string> rest(words.begin() + (words.empty() ? 0 : 1), words.end());
        if (const auto kind = commandKind(command))
            return runRecord(*kind, rest);
        if (command == "apply" || command == "validate")
            return runFile(command == "validate", onlyArgument(rest, "a file"));
        if (command == "status")
            return runStatus();
        if (command == "explain")
            return runExplain(rest);
        if (command == "report")
            return runReport(rest);
        if (command == "restore")
            return runRestore();
        if (command == "wait")
            return runWait(onlyArgument(rest, "a revision"));
        printHelp(out_, command == "help" ? (rest.empty() ? "" : rest.front()) : command);
        return ExitCode::Done;
    }

private:
    static std::optional<record::RecordKind> commandKind(const std::string &command)
    {
        for (std::size_t i = 0; i < table::recordKindTable.size(); ++i) {
            if (table::recordKindTable[i].command == command)
                return static_cast<record::RecordKind>(i);
        }
        return std::nullopt;
    }

    /** @return The single argument. @throws UsageError if there are none or several. */
    static const std::string &onlyArgument(const std::vector<std::string> &words,
                                           const std::string &what)
    {
        if (words.size() != 1)
            throw UsageError("expected " + what + ", found " + std::to_string(words.size())
                             + " arguments");
        return words.front();
    }

    record::RecordSet readRecords()
    {
        return config::unpackAll(config::readGroups(store_, config::readHead(store_).head));
    }

    ExitCode runRecord(record::RecordKind kind, const std::vector<std::string> &words)
    {
        const std::string verb = words.empty() ? "" : words.front();
        const std::span<const std::string> arguments =
            std::span(words).subspan(words.empty() ? 0 : 1);
        const record::RecordSet current = readRecords();
        if (verb == "list") {
            printRecords(out_, options_.output, recordsOfKind(current, kind));
            return ExitCode::Done;
        }
        if (verb == "show")
            return showRecord(current, {kind, arguments.empty() ? "" : arguments.front()});
        if (verb != "create" && verb != "change" && verb != "withdraw")
            throw UsageError("action '" + verb
                             + "', expected create, show, list, change or withdraw");
        return accept(planEdit(kind, verb, arguments, current), current);
    }

    ExitCode showRecord(const record::RecordSet &current, const record::RecordRef &ref)
    {
        const auto found = record::findRecord(current, ref);
        if (!found)
            throw record::InvalidRecords(
                {{ref, "id", "'" + ref.id + "'", "the id of a record that exists"}});
        printRecords(out_, options_.output, {*found});
        return ExitCode::Done;
    }

    ExitCode runFile(bool checkOnly, const std::string &path)
    {
        const record::RecordSet current = readRecords();
        const PlannedEdits planned = planFile(readFile(path), current);
        if (!checkOnly)
            return accept(planned, current);
        record::RecordSet checked = current;
        record::editRecords(checked, planned.edits, record::CommandMode::Check);
        out_ << "valid: " << planned.edits.size() << " records\n";
        return ExitCode::Done;
    }

    ExitCode accept(const PlannedEdits &planned, const record::RecordSet &base)
    {
        config::AcceptOptions accept;
        accept.id =
            core::ChangeId(options_.changeId.empty() ? core::randomHex(8) : options_.changeId);
        accept.base = &base;
        accept.wait = options_.pause;
        if (options_.fleetCheck)
            accept.fleetHead = fetchFleetHead(source_, transport_, options_.callTimeout);
        ChangeReport report {.id = accept.id, .newKey = planned.newKey};
        report.acceptance = acceptAndShowKey(planned, accept);
        // A repeated change keeps the key of the first run, so the new key is not valid.
        if (report.acceptance.repeated)
            report.newKey.clear();
        report.waited = options_.wait;
        if (options_.wait)
            report.unconfirmed =
                waitUntilInForce(source_, transport_, report.acceptance.revision, options_);
        printChange(out_, options_.output, report);
        return report.unconfirmed.empty() ? ExitCode::Done : ExitCode::NotConfirmed;
    }

    /**
     * Submits a change. If its outcome is unknown, prints the new key before rethrowing, because
     * the key may be valid and cannot be shown later.
     */
    config::AcceptResult acceptAndShowKey(const PlannedEdits &planned,
                                          const config::AcceptOptions &accept)
    {
        try {
            return config::acceptChange(store_, planned.edits, accept);
        } catch (const config::ChangeOutcomeUnknown &) {
            if (!planned.newKey.empty())
                out_ << "key, valid if the change was accepted: " << planned.newKey << "\n";
            throw;
        }
    }

    ExitCode runWait(const std::string &text)
    {
        if (text.empty() || text.size() > 18
            || text.find_first_not_of("0123456789") != std::string::npos)
            throw UsageError("revision '" + text + "', expected a number of at most 18 digits");
        const core::Revision revision(std::stoull(text));
        const auto missing = waitUntilInForce(source_, transport_, revision, options_);
        for (const core::VmId &id : missing)
            out_ << "not confirmed by: " << id.str() << "\n";
        return missing.empty() ? ExitCode::Done : ExitCode::NotConfirmed;
    }

    ExitCode runStatus()
    {
        const auto answers = callFleet(transport_, source_.read().entryVms, "fleet.status",
                                       nlohmann::json::object(), options_.callTimeout);
        config::HeadId head;
        try {
            head = config::readHead(store_).id();
        } catch (const store::StoreUnavailable &error) {
            out_ << "the store could not be read: " << error.what() << "\n";
        }
        printStatus(out_, options_.output, head, parseStatuses(answers));
        return exitCodeForAnswers(answers);
    }

    ExitCode runExplain(const std::vector<std::string> &words)
    {
        if (!words.empty() && words[0] == "placement") {
            explainPlacement(out_, options_, {words.begin() + 1, words.end()});
            return ExitCode::Done;
        }
        const bool valid = words.size() == 2
            && (words[0] == "upstream" || words[0] == "account" || words[0] == "request");
        if (!valid)
            throw UsageError("expected 'explain upstream|account|request ID' or "
                             "'explain placement HOST PATH [METHOD]'");
        const auto answers =
            callFleet(transport_, source_.read().entryVms, "fleet.explain",
                      {{"subject", words[0]}, {"id", words[1]}}, options_.callTimeout);
        printAnswers(out_, options_.output, answers);
        return exitCodeForAnswers(answers);
    }

    ExitCode runReport(const std::vector<std::string> &words)
    {
        if (words != std::vector<std::string> {"burn"})
            throw UsageError("expected 'report burn'");
        return printBurnReport(out_, options_.output,
                               callFleet(transport_, source_.read().entryVms, "fleet.burn",
                                         nlohmann::json::object(), options_.callTimeout));
    }

    ExitCode runRestore()
    {
        const auto statuses = fetchFleetStatus(source_, transport_, options_.callTimeout);
        const config::HeadId highest = highestHead(statuses);
        for (const VmStatus &vmStatus : statuses) {
            if (!vmStatus.status || vmStatus.status->activeHead != highest
                || highest.revision.count() == 0)
                continue;
            const auto all = fetchConfig(transport_, endpointOf(vmStatus.vm), options_.callTimeout);
            const bool written = config::restoreStore(store_, all.headText, all.values);
            out_ << (written ? "store restored to revision " : "store is not behind revision ")
                 << highest.revision.count() << "\n";
            return ExitCode::Done;
        }
        throw FleetUnreachable(statuses.size());
    }

    Store &store_;
    Source &source_;
    Transport &transport_;
    const ToolOptions &options_;
    std::ostream &out_;
};

} // namespace teaselreach::tool
