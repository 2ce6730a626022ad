// Writes an example of each message between relay nodes and of each record in
// the store: its name and its bytes in hexadecimal. The output of each landing
// is kept in this folder, for the tests of later ones.

#include "wire/codec.hpp"
#include "wire/generated/allotments_types.h"
#include "wire/generated/crash_traits_types.h"
#include "wire/generated/feed_types.h"
#include "wire/generated/frame_types.h"
#include "wire/generated/membership_types.h"
#include "wire/generated/node_jobs_types.h"
#include "wire/generated/slots_types.h"
#include "wire/generated/stream_origins_types.h"

#include <iomanip>
#include <iostream>

using namespace parsleytrack::wire;

namespace
{

template <class Message>
void write(const char* name, const Message& message)
{
    std::cout << name << ' ' << std::hex << std::setfill('0');
    for (const unsigned char byte : encode(message))
    {
        std::cout << std::setw(2) << static_cast<int>(byte);
    }
    std::cout << '\n';
}

node_job_state job_state()
{
    node_job_outcome outcome;
    outcome.item = 3;
    outcome.completed = true;
    node_job_state state;
    state.job = "job-1";
    state.route_name = "batch";
    state.owner = "n1";
    state.owner_life = 1796520959839;
    state.cancelled = true;
    state.outcomes = {outcome, node_job_outcome()};
    state.submitted_at_ms = 1796520959840;
    state.item_count = 40;
    state.waiting_tokens = 5000;
    state.age_ms = 12000;
    state.__set_configuration(8);
    return state;
}

node_job_input job_input()
{
    node_job_header field;
    field.name = "Content-Type";
    field.value = "text/plain";
    node_job_item item;
    item.id = "job-1-0";
    item.target = "/stream/a?b=c";
    item.headers = {field};
    item.body = std::string("body\0\xff", 6);
    item.tokens = 420;
    node_job_input input;
    input.job = "job-1";
    input.route_name = "batch";
    input.host = "h";
    input.items = {item};
    input.submitted_at_ms = 1796520959840;
    input.configuration = 7;
    return input;
}

void write_jobs()
{
    write("node_job_input", job_input());
    write("node_job_state", job_state());
    node_job_usage usage;
    usage.waiting_tokens = 90000;
    write("node_job_usage", usage);
    node_job_partial partial;
    partial.item = 3;
    partial.last_event = 17;
    partial.output = "t1\nt2";
    partial.__set_version("v1");
    partial.__set_service_name("llm");
    node_job_progress progress;
    progress.items = {partial};
    write("node_job_progress", progress);
    node_job_read read;
    read.job = "job-1";
    read.after = 3;
    read.wait_ms = 2000;
    write("node_job_read", read);
    node_job_result result;
    result.item = "job-1-0";
    result.completed = true;
    result.output = "t1";
    node_job_page page;
    page.total = 40;
    page.results = {result};
    write("node_job_page", page);
    node_job_handover handover;
    handover.input = encode(job_input());
    handover.state = encode(job_state());
    handover.revision = 9;
    write("node_job_handover", handover);
    node_job_news news;
    news.job = "job-1";
    news.revision = 9;
    write("node_job_news", news);
}

void write_allotments()
{
    allotment_order order;
    order.workspace = "workspace-1";
    order.requests_per_s = 12.5;
    order.burst = 30.0;
    order.configuration = 7;
    order.needed = 2;
    order.wanted = 5;
    order.returned = 1;
    order.term = 987654321;
    order.sent_alone = 3;
    write("allotment_order", order);
    allotment_answer answer;
    answer.is_owner = true;
    answer.granted = 4;
    answer.term = 987654321;
    answer.refilled_in_us = 80000;
    write("allotment_answer", answer);
}

void write_streams()
{
    stream_origin origin;
    origin.request = "r-1";
    origin.service_name = "llm";
    origin.version = "v1";
    origin.keep_ms = 60000;
    stream_origin_notice notice;
    notice.origins = {origin};
    write("stream_origin_notice", notice);
    stream_origin_inquiry inquiry;
    inquiry.request = "r-1";
    inquiry.services = {"llm", "web"};
    inquiry.within_ms = 30000;
    write("stream_origin_inquiry", inquiry);
    service_version version;
    version.service_name = "llm";
    version.version = "v1";
    stream_origin_reply reply;
    reply.__set_origin(origin);
    reply.has_observed = true;
    reply.versions = {version};
    reply.__set_remembers(true);
    write("stream_origin_reply", reply);
    storage_node_record record;
    record.address = "10.0.0.1:4000";
    record.versions = {version};
    write("storage_node_record", record);
}

void write_traits()
{
    trait_crash crash;
    crash.request = "r-1";
    crash.replica_process = "i-1/1796520959";
    crash.traits = {"prompt-part", "content"};
    crash.age_ms = 400;
    crash.__set_after_output(true);
    trait_survival survival;
    survival.trait = "prompt-part";
    survival.age_ms = 300;
    trait_verdict verdict;
    verdict.trait = "content";
    verdict.blocked = true;
    verdict.revision = 4;
    verdict.trial_in_ms = 60000;
    verdict.hold_ms = 180000;
    trait_knowledge knowledge;
    knowledge.traits = {"content"};
    knowledge.crashes = {crash};
    knowledge.survivals = {survival};
    knowledge.verdicts = {verdict};
    write("trait_knowledge", knowledge);
}

void write_slots()
{
    slot_order order;
    order.request = "r-1";
    order.service_name = "llm";
    order.priority = 2;
    order.batch = true;
    order.useful_for_ms = 5000;
    order.excluded = {"i-2"};
    order.availability_zone = "z";
    order.held_replica = "i-1";
    order.wait_when_late = true;
    order.pool = 1;
    order.__set_abandoned_in_ms(9000);
    order.node = "n1";
    order.__set_version("v1");
    order.__set_any_version_in_ms(340);
    order.__set_workspace("w");
    write("slot_order", order);
    replica_limit limit;
    limit.process = "i-1/1796520959";
    limit.named = true;
    limit.requests_per_s = 2.5;
    limit.age_ms = 100;
    slot_answer answer;
    answer.verdict = slot_verdict::reclaimed;
    answer.replica = "i-1";
    answer.retry_after_ms = 50;
    answer.spare = -3;
    answer.__set_limit(limit);
    write("slot_answer", answer);
    replica_report report;
    report.request = "r-1";
    report.service_name = "llm";
    report.replica = "i-1";
    report.leaving = true;
    report.process = "i-1/1796520959";
    report.__set_limit(limit);
    report.__set_lost(true);
    write("replica_report", report);
}

void write_feeds()
{
    feed_question question;
    question.prefix = "servers/";
    question.position = 47;
    write("feed_question", question);
    feed_record record;
    record.key = "servers/i-1";
    record.value = "{}";
    record.revision = 46;
    record.deleted = true;
    feed_part part;
    part.kind = feed_part_kind::last_known;
    part.records = {record};
    part.position = 47;
    part.__set_age_ms(250);
    write("feed_part", part);
}

void write_frames()
{
    frame carrier;
    carrier.call_id = 5;
    carrier.kind = frame_kind::cancel;
    carrier.message_type = 12;
    carrier.payload = "payload";
    write("frame", carrier);
    failure reason;
    reason.reason = "no_replica";
    reason.message = "none";
    reason.may_have_run = true;
    reason.__set_retry_after_ms(300);
    write("failure", reason);
}

void write_membership()
{
    member node;
    node.id = "n1";
    node.incarnation = 1796520959839353;
    node.state = member_state::suspect;
    node.leaving = true;
    node.peer_host = "10.0.0.1";
    node.peer_port = 4000;
    node.http_host = "10.0.0.1";
    node.http_port = 80;
    node.availability_zone = "z";
    node.entry_node = true;
    node.keeper = true;
    node.capacity = 500;
    node.started_as = 1796520959839353;
    node.__set_stranded(true);
    board_value value;
    value.topic = "limits";
    value.node = "n1";
    value.version = 8;
    value.value = "v";
    membership_datagram datagram;
    datagram.kind = datagram_kind::indirect_probe;
    datagram.sequence = 6;
    datagram.region = "region";
    datagram.sender = "n1";
    datagram.subject = "n2";
    datagram.subject_host = "10.0.0.2";
    datagram.subject_port = 4000;
    datagram.members = {node};
    datagram.items = {value};
    write("membership_datagram", datagram);
    held_value held;
    held.topic = "limits";
    held.node = "n1";
    held.version = 8;
    view exchange;
    exchange.region = "region";
    exchange.sender = "n1";
    exchange.members = {node};
    exchange.known = {held};
    exchange.items = {value};
    write("view", exchange);
}

} // namespace

int main()
{
    write_jobs();
    write_streams();
    write_allotments();
    write_traits();
    write_slots();
    write_feeds();
    write_frames();
    write_membership();
}
