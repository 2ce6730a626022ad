#pragma once

#include "metrics/registry.hpp"
#include "net/http_server.hpp"
#include "relay/address_service.hpp"
#include "relay/caller_protection.hpp"
#include "relay/job_service.hpp"
#include "relay/online_service.hpp"
#include "relay/own_node_info.hpp"
#include "relay/relay_context.hpp"
#include "relay/relay_node.hpp"
#include "relay/slot_client.hpp"
#include "relay/slot_server.hpp"
#include "relay/status_report.hpp"
#include "relay/stop_schedule.hpp"
#include "workspaces/request_counts.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

/// What a relay node consists of, and what it does with requests and signals.
struct relay_node::state
{
    state(settings::relay_settings node_settings, std::string path,
          const relay_adapter& protocol_adapter)
        : settings(std::move(node_settings)), settings_path(std::move(path)),
          adapter(protocol_adapter), random(random_seed()), front(this->loop),
          ready(this->loop), directory(this->loop), metrics_server(this->loop),
          replica_client(this->loop), store_client(this->loop),
          peers(this->loop),
          store(this->loop, this->store_client, this->settings.store,
                protocol_adapter.records(), this->random),
          group(this->loop, this->peers, this->random,
                own_node_info(this->settings, this->random),
                this->settings.seeds),
          configuration(
              this->loop, this->store, this->peers, this->group, this->random,
              protocol_adapter,
              static_cast<std::size_t>(this->settings.max_direct_followers)),
          replicas(
              this->loop, this->store, this->peers, this->group, this->random,
              protocol_adapter,
              static_cast<std::size_t>(this->settings.max_direct_followers))
    {
    }

    settings::relay_settings settings;
    std::string settings_path;
    const relay_adapter& adapter;
    random_source random;
    net::event_loop loop;
    net::http_server front;
    net::http_server ready;
    net::http_server directory;
    net::http_server metrics_server;
    net::http_client replica_client;
    net::http_client store_client;
    wire::peer_network peers;
    key_value::record_client store;
    peering::peer_group group;
    configuration_follower configuration;
    replica_follower replicas;
    metrics::registry metrics;
    caller_protection protection{
        this->settings.memory,
        this->front,
        {&this->ready, &this->directory, &this->metrics_server},
        this->metrics};
    link_monitor link{this->loop, this->replicas, this->random, this->metrics};
    replica_doubts doubts{this->replica_client, this->replicas};
    storage_directory storage_nodes{
        this->loop,
        this->store,
        this->peers,
        this->group,
        this->random,
        static_cast<std::size_t>(this->settings.max_direct_followers)};
    crash_guard crashes{this->loop, this->peers, this->group,
                        this->storage_nodes, this->metrics};
    stream_origins origins{this->loop,    this->peers,    this->store,
                           this->adapter, this->replicas, this->storage_nodes};
    allotments::allotment_client allotments{allotments::allotment_services{
        this->settings.allotments, this->loop, this->peers, this->group,
        this->metrics, this->random}};
    workspaces::request_counts workspace_requests;
    relay_context context{this->settings,
                          this->adapter,
                          this->loop,
                          this->replica_client,
                          this->peers,
                          this->group,
                          this->store,
                          this->configuration,
                          this->replicas,
                          this->link,
                          this->crashes,
                          this->allotments,
                          this->workspace_requests,
                          this->doubts,
                          this->origins,
                          this->metrics,
                          this->random};
    slot_server slots_server{this->context};
    slot_client slots{this->context, this->slots_server};
    online_service online{this->context, this->slots};
    job_service jobs{this->context, this->slots};
    address_service addresses{this->context};
    status_report status{this->context, this->slots_server, this->jobs};
    std::vector<net::timer> signals;
    net::timer stop_timer;
    net::timer store_calls_timer;
    std::optional<stop_schedule> stop;
    bool acceptance_ended = false;

    result<bool> listen();
    void handle_request(const std::shared_ptr<net::http_exchange>& exchange);
    void handle_readiness(const std::shared_ptr<net::http_exchange>& exchange);
    void
    handle_address_request(const std::shared_ptr<net::http_exchange>& exchange);
    void handle_metrics(const std::shared_ptr<net::http_exchange>& exchange);
    void reload();
    void begin_stop();
    void advance_stop();
};

} // namespace parsleytrack::relay
