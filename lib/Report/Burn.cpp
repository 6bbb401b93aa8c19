#include "mulberrywall/Report/Burn.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cassert>
#include <iomanip>
#include <sstream>

namespace mulberrywall::report
{

namespace json = boost::json;

static std::uint64_t numberOf(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return 0;
    }
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

static void addWindow(BurnTable &table, const std::string &requestClass, const json::object &window)
{
    BurnCounts &counts = table[requestClass][numberOf(window, "seconds")];
    counts.requests += numberOf(window, "requests");
    counts.withinTargets += numberOf(window, "withinTargets");
    counts.goodputTokens += numberOf(window, "goodputTokens");
    counts.wastedTokens += numberOf(window, "wastedTokens");
}

support::Result<void> addStatus(BurnTable &table, std::string_view statusJson)
{
    json::error_code error;
    const json::value document = json::parse(json::string_view(statusJson.data(), statusJson.size()), error);
    const json::value *levels = !error && document.is_object() ? document.get_object().if_contains("serviceLevels") : nullptr;
    if (levels == nullptr || !levels->is_object()) {
        return support::leaf::new_error(support::ErrorMessage {"the document has no service levels; pass the response to /v1/status of a router"});
    }
    for (const auto &[requestClass, windows] : levels->get_object()) {
        if (!windows.is_array()) {
            return support::leaf::new_error(
                support::ErrorMessage {"the windows of class '" + std::string(requestClass) + "' are not a list; pass the response to /v1/status of a router"});
        }
        for (const json::value &window : windows.get_array()) {
            if (window.is_object()) {
                addWindow(table, std::string(requestClass), window.get_object());
            }
        }
    }
    return {};
}

std::vector<BurnRow> computeBurn(const BurnTable &table, double objective)
{
    assert(objective > 0.0 && objective < 1.0 && "an objective of 1 allows no miss and has no burn rate");
    std::vector<BurnRow> rows;
    for (const auto &[requestClass, windows] : table) {
        for (const auto &[seconds, counts] : windows) {
            BurnRow row {.requestClass = requestClass, .windowSeconds = seconds, .counts = counts};
            if (counts.requests > 0) {
                row.attainment = static_cast<double>(counts.withinTargets) / static_cast<double>(counts.requests);
            }
            row.burnRate = (1.0 - row.attainment) / (1.0 - objective);
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

static std::string windowName(std::uint64_t seconds)
{
    constexpr std::uint64_t secondsPerHour = 3'600;
    return seconds >= secondsPerHour ? std::to_string(seconds / secondsPerHour) + " h" : std::to_string(seconds / 60) + " min";
}

std::string renderText(std::span<const BurnRow> rows, double objective)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << "objective " << objective << " of requests within targets\n";
    out << std::left << std::setw(20) << "class" << std::right << std::setw(8) << "window" << std::setw(10) << "requests" << std::setw(12) << "attainment"
        << std::setw(10) << "burn" << std::setw(16) << "goodput tokens" << std::setw(15) << "wasted tokens" << '\n';
    for (const BurnRow &row : rows) {
        out << std::left << std::setw(20) << row.requestClass << std::right << std::setw(8) << windowName(row.windowSeconds) << std::setw(10)
            << row.counts.requests << std::setw(12) << row.attainment << std::setw(10) << row.burnRate << std::setw(16) << row.counts.goodputTokens
            << std::setw(15) << row.counts.wastedTokens << '\n';
    }
    return out.str();
}

std::string renderJson(std::span<const BurnRow> rows, double objective)
{
    json::array list;
    for (const BurnRow &row : rows) {
        list.push_back({{"class", row.requestClass},
            {"windowSeconds", row.windowSeconds},
            {"requests", row.counts.requests},
            {"withinTargets", row.counts.withinTargets},
            {"attainment", row.attainment},
            {"burnRate", row.burnRate},
            {"goodputTokens", row.counts.goodputTokens},
            {"wastedTokens", row.counts.wastedTokens}});
    }
    return json::serialize(json::object {{"objective", objective}, {"rows", std::move(list)}});
}

static std::string escapeXml(std::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

std::string renderSvg(std::span<const BurnRow> rows, double objective)
{
    constexpr double labelWidth = 220.0;
    constexpr double barWidth = 500.0;
    constexpr double rowHeight = 22.0;
    constexpr double margin = 40.0;
    double scale = 2.0;
    for (const BurnRow &row : rows) {
        scale = std::max(scale, row.burnRate);
    }
    const double height = margin + rowHeight * static_cast<double>(rows.size()) + rowHeight;
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    out << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << labelWidth + barWidth + 80.0 << R"(" height=")" << height
        << R"(" font-family="sans-serif" font-size="12">)" << '\n';
    out << R"(<text x="8" y="20">service-level burn, objective )" << objective << "</text>\n";
    double top = margin;
    for (const BurnRow &row : rows) {
        const double width = barWidth * row.burnRate / scale;
        const std::string_view colour = row.burnRate > 1.0 ? "#c0392b" : "#2980b9";
        out << R"(<text x="8" y=")" << top + 14.0 << R"(">)" << escapeXml(row.requestClass) << ", " << windowName(row.windowSeconds) << "</text>\n";
        out << R"(<rect x=")" << labelWidth << R"(" y=")" << top << R"(" width=")" << width << R"(" height="16" fill=")" << colour << "\"/>\n";
        out << R"(<text x=")" << labelWidth + width + 4.0 << R"(" y=")" << top + 13.0 << R"(">)" << row.burnRate << "</text>\n";
        top += rowHeight;
    }
    const double limit = labelWidth + barWidth / scale;
    out << R"(<line x1=")" << limit << R"(" x2=")" << limit << R"(" y1=")" << margin - 6.0 << R"(" y2=")" << top << R"(" stroke="#333" stroke-dasharray="4"/>)"
        << "\n</svg>\n";
    return out.str();
}

} // namespace mulberrywall::report
