/* What operators write for a balancer, from the store and from peers: the routes and the evacuated
 * failure domains. A few balancers watch the store and disseminate changes; the others check it
 * every 2 s. */
#pragma once

#include "kumquat/control.h"
#include "kumquat/internal/stream_adapter.h"
#include "kumquat/internal/stream_router.h"
#include "kumquat/store.h"

typedef struct KqStreamConfiguration KqStreamConfiguration;

/**
 * struct KqStreamConfigurationParams - what it works with; all pointers are borrowed and must
 * outlive it
 * @changed: called after a newer configuration was applied
 * @store_answered: called when the store has answered a call
 * @refreshed: called four times a second
 * @data: context pointer of the callbacks
 */
typedef struct
{
  const KqStreamAdapter *adapter;
  KqStreamRouter *router;
  KqControl *control;
  KqStore *store;
  void (*changed) (void *data);
  void (*store_answered) (void *data);
  void (*refreshed) (void *data);
  void *data;
} KqStreamConfigurationParams;

/** kq_stream_configuration_new - starts to follow the store. Return: (owned by @parent) the
 * configuration, or NULL with @error set */
KqStreamConfiguration *kq_stream_configuration_new (const void *parent, struct tevent_context *ev,
                                                    const KqStreamConfigurationParams *params,
                                                    KqError *error);

/** kq_stream_configuration_members_changed - decides anew whether this balancer watches the store
 */
void kq_stream_configuration_members_changed (KqStreamConfiguration *configuration);

/** kq_stream_configuration_document_received - applies a document that a peer disseminated */
void kq_stream_configuration_document_received (KqStreamConfiguration *configuration,
                                                const KqDocument *document);

/** kq_stream_configuration_stop - ends the watch, as the process shuts down */
void kq_stream_configuration_stop (KqStreamConfiguration *configuration);

/** kq_stream_configuration_evacuated_count - Return: the number of evacuated failure domains */
unsigned kq_stream_configuration_evacuated_count (const KqStreamConfiguration *configuration);
