import * as v from 'valibot';
import { Configuration, NodeName } from '@pewterlanding/model';
import type { ServiceName } from '@pewterlanding/model';
import { RoutingState } from '@pewterlanding/proxy';
import type { ReplicaRow, Tables } from '@pewterlanding/proxy';
import type { Clock } from '@pewterlanding/runtime';
import { modelZone } from './modelZone.js';
import type { SelectionWorkload } from './selectionWorkload.js';

/** The routing tables of the model's one service, without any load; rows in the order of the model's replicas. */
export function modelTables(service: ServiceName, { replicas, zones, slotsOfReplica, memoryTokens }: SelectionWorkload): Tables {
  const state = new RoutingState({ front: v.parse(NodeName, 'front'), instance: 'front', clock: stillClock });
  const configuration = v.parse(Configuration, {
    services: {
      [service]: {
        kind: 'streamed',
        idempotent: false,
        replicas: { maxSlots: slotsOfReplica },
        engine: { slots: slotsOfReplica, memoryTokens },
      },
    },
    quotas: {},
    joining: true,
  });
  state.apply([
    { key: 'setup', version: [1, 0], volatile: false, value: { version: 1, configuration } },
    ...Array.from({ length: replicas }, (_, index) => ({
      key: `replica/${service}/r-${index}`,
      version: [1, 0] satisfies [number, number],
      volatile: false,
      value: {
        service,
        address: `127.0.0.1:${index + 1}`,
        zone: modelZone(index, zones),
        slots: slotsOfReplica,
        incarnation: 1,
        instance: `r-${index}`,
        state: 'serving',
      },
    })),
  ]);
  return { ...state.tables, replicas: new Map([[service, inIndexOrder(state.tables.replicas.get(service) ?? [])]]) };
}

function inIndexOrder(rows: readonly ReplicaRow[]): readonly ReplicaRow[] {
  return [...rows].sort((a, b) => portOf(a) - portOf(b));
}

function portOf({ replica }: ReplicaRow): number {
  return Number(replica.address.split(':')[1]);
}

const stillClock: Clock = { nowMs: () => 0, wallMs: () => 0, after: () => () => undefined };
