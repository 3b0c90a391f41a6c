/** @file tool.cpp Helpers of the tool's commands that need no store. */
#include "tool/tool_base.h"

namespace teaselreach::tool {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw UsageError("file '" + path + "' cannot be read");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::vector<record::AnyRecord> recordsOfKind(const record::RecordSet &records,
                                             record::RecordKind kind)
{
    std::vector<record::AnyRecord> result;
    record::forEachRecord(records, [&](const auto &r) {
        record::AnyRecord any = r;
        if (record::kindOf(any) == kind)
            result.push_back(std::move(any));
    });
    return result;
}

ExitCode exitCodeForAnswers(const std::vector<FleetAnswer> &answers)
{
    const bool complete = std::all_of(answers.begin(), answers.end(),
                                      [](const FleetAnswer &a) { return a.result.has_value(); });
    return complete ? ExitCode::Done : ExitCode::Partial;
}

ExitCode printBurnReport(std::ostream &out, OutputFormat format,
                         const std::vector<FleetAnswer> &answers)
{
    burn::BurnReport report;
    std::vector<burn::BurnSample> samples;
    for (const FleetAnswer &answer : answers) {
        try {
            if (!answer.result)
                throw burn::BurnSampleMalformed("the daemon did not answer");
            for (burn::BurnSample &sample : burn::samplesFromJson(*answer.result))
                samples.push_back(std::move(sample));
            report.answered.push_back(answer.vm.id);
        } catch (const burn::BurnSampleMalformed &) {
            report.unreachable.push_back(answer.vm.id);
        }
    }
    report.rows = burn::mergeSamples(samples);
    if (format == OutputFormat::Json)
        out << burn::reportAsJson(report).dump(2) << "\n";
    else
        out << (format == OutputFormat::Svg ? burn::reportAsSvg(report)
                                            : burn::reportAsTable(report));
    return report.unreachable.empty() ? ExitCode::Done : ExitCode::Partial;
}

} // namespace teaselreach::tool
