/* Finds members through the store, and keeps them there for others. */
#pragma once

#include <tevent.h>

#include "kumquat/control.h"
#include "kumquat/store.h"

typedef struct KqStreamDirectory KqStreamDirectory;

/**
 * kq_stream_directory_new - reads the directory and introduces this process to whom it names
 * @store: (borrowed): must outlive the directory
 * @control: (borrowed): must outlive the directory
 *
 * Return: (owned by @parent) the directory, or NULL with @error set.
 */
KqStreamDirectory *kq_stream_directory_new (const void *parent, struct tevent_context *ev,
                                            KqStore *store, KqControl *control, KqError *error);

/** kq_stream_directory_members_changed - notes that members came or went */
void kq_stream_directory_members_changed (KqStreamDirectory *directory);

/** kq_stream_directory_heard - takes the directory that a peer spreads */
void kq_stream_directory_heard (KqStreamDirectory *directory, const KqDocument *document);

/** kq_stream_directory_complete - Return: see kq_agent_roll_complete() */
bool kq_stream_directory_complete (const KqStreamDirectory *directory);
