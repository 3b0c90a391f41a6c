/** @file burn_plot.cpp The burn report as an SVG bar chart. */
#include "burn/burn_report_func.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

namespace teaselreach::burn {

namespace {

// Sizes in SVG user units.
constexpr int labelWidth = 320;
constexpr int barWidth = 480;
constexpr int valueWidth = 90;
constexpr int barHeight = 12;
constexpr int rowGap = 14;
constexpr int headerHeight = 64;
constexpr int footerHeight = 40;
constexpr int rowHeight = barHeight * static_cast<int>(reportWindows.size()) + rowGap;

/** Higher burn rates are drawn at this width; the number beside each bar is the true value. */
constexpr double maxDrawnBurnRate = 10;

/** Bar colours of the windows. They differ in lightness, for readers without colour vision. */
constexpr std::array<const char *, reportWindows.size()> windowColours {"#08306b", "#2171b5",
                                                                        "#6baed6", "#c6dbef"};

/** @return The text with `<`, `>` and `&` escaped for XML. */
std::string escapeXml(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        default:
            result.push_back(c);
        }
    }
    return result;
}

void writeText(std::ostream &out, int x, int y, const std::string &text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\">" << escapeXml(text) << "</text>\n";
}

/** Writes the title, the legend of the windows and the vertical line at a burn rate of 1. */
void writeHeader(std::ostream &out, int height)
{
    writeText(out, 10, 22, "Service-level burn rate (1 = error budget used up in 3 days)");
    int x = labelWidth;
    for (std::size_t i = 0; i < reportWindows.size(); ++i) {
        out << "<rect x=\"" << x << "\" y=\"34\" width=\"12\" height=\"12\" fill=\""
            << windowColours[i] << "\"/>\n";
        writeText(out, x + 18, 45, std::string(reportWindows[i].name));
        x += 70;
    }
    const int rateOneX = labelWidth + static_cast<int>(barWidth / maxDrawnBurnRate);
    out << "<line x1=\"" << rateOneX << "\" y1=\"" << headerHeight - 8 << "\" x2=\"" << rateOneX
        << "\" y2=\"" << height - footerHeight
        << "\" stroke=\"#b30000\" stroke-dasharray=\"4 3\"/>\n";
}

/** Writes one row: its labels and one bar for each window. */
void writeRow(std::ostream &out, const BurnRow &row, int y)
{
    writeText(out, 10, y + barHeight, row.objective.str() + " / " + row.account.str());
    char budget[64];
    std::snprintf(budget, sizeof budget, "budget left %.1f%%", budgetLeft(row) * 100);
    writeText(out, 10, y + 2 * barHeight + 4, budget);
    for (std::size_t i = 0; i < reportWindows.size(); ++i) {
        const double rate = burnRate(row.counts[i], row.target);
        const int width =
            static_cast<int>(std::min(rate, maxDrawnBurnRate) / maxDrawnBurnRate * barWidth);
        const int top = y + static_cast<int>(i) * barHeight;
        out << "<rect x=\"" << labelWidth << "\" y=\"" << top << "\" width=\"" << std::max(width, 1)
            << "\" height=\"" << barHeight - 2 << "\" fill=\"" << windowColours[i] << "\"/>\n";
        char value[32];
        std::snprintf(value, sizeof value, "%.2f", rate);
        writeText(out, labelWidth + width + 6, top + barHeight - 3, value);
    }
}

} // namespace

std::string reportAsSvg(const BurnReport &report)
{
    const int height =
        headerHeight + rowHeight * static_cast<int>(report.rows.size()) + footerHeight;
    const int width = labelWidth + barWidth + valueWidth;
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    writeHeader(out, height);
    int y = headerHeight;
    for (const BurnRow &row : report.rows) {
        writeRow(out, row, y);
        y += rowHeight;
    }
    std::string missing;
    for (const core::VmId &vm : report.unreachable)
        missing += " " + vm.str();
    writeText(out, 10, height - 14,
              std::to_string(report.answered.size())
                  + " VMs answered; not reached:" + (missing.empty() ? " none" : missing));
    out << "</svg>\n";
    return out.str();
}

} // namespace teaselreach::burn
