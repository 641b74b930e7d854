import type { QuotaName } from '@pewterlanding/model';
import type { QueuedItem } from '@pewterlanding/store';

interface ReplicaSelector {
  /** Queued items of all shards, each with the shard that keeps it. */
  readonly items: readonly (QueuedItem & { readonly shard: string })[];
  /** Items each branch has out already. */
  readonly out: ReadonlyMap<QuotaName, number>;
  readonly share: (quota: QuotaName) => number;
  /** Services that share replicas share a pool, and its room. */
  readonly poolOf: (service: string) => string;
  readonly roomOf: (service: string) => number;
  /** Token capacity: items of about this cost that the branch could reserve now. */
  readonly capacity: (quota: QuotaName, tokens: number) => number;
  /** The most that may be claimed in this tick. */
  readonly gap: number;
}

/** The claim of one tick: min(capacity gap, token capacity), fair between branches by share, by due time and then queued_at within one. */
export function selectItems(selector: ReplicaSelector): readonly (QueuedItem & { readonly shard: string })[] {
  const lines = new Map<QuotaName, (QueuedItem & { readonly shard: string })[]>();
  for (const item of [...selector.items].sort(first)) {
    const line = lines.get(item.quota) ?? [];
    lines.set(item.quota, line);
    line.push(item);
  }
  const out = new Map(selector.out);
  const left = new Map<QuotaName, number>();
  for (const [quota, line] of lines) left.set(quota, selector.capacity(quota, line[0]?.tokens ?? 0));
  const rooms = new Map<string, number>();
  const reached = new Map<QuotaName, number>();
  const chosen: (QueuedItem & { readonly shard: string })[] = [];
  // The branch that is furthest below its share goes next. Only the one that was served moves in this order.
  const weightOf = (quota: QuotaName): number => (out.get(quota) ?? 0) / Math.max(selector.share(quota), 1e-9);
  const order = [...lines.keys()]
    .filter((quota) => (left.get(quota) ?? 0) > 0)
    .map((quota) => ({ quota, weight: weightOf(quota) }))
    .sort(inTurn);
  for (let next = order.shift(); next !== undefined && chosen.length < selector.gap; next = order.shift()) {
    const { quota: quota } = next;
    const line = lines.get(quota) ?? [];
    const at = reached.get(quota) ?? 0;
    const item = line[at];
    if (item === undefined) continue;
    reached.set(quota, at + 1);
    const room = rooms.get(selector.poolOf(item.service)) ?? selector.roomOf(item.service);
    if (room > 0) {
      rooms.set(selector.poolOf(item.service), room - 1);
      left.set(quota, (left.get(quota) ?? 0) - 1);
      out.set(quota, (out.get(quota) ?? 0) + 1);
      chosen.push(item);
    }
    if ((left.get(quota) ?? 0) > 0) insert(order, { quota, weight: weightOf(quota) });
  }
  return chosen;
}

function first(a: QueuedItem, b: QueuedItem): number {
  return a.dueAtMs - b.dueAtMs || a.queuedAtMs - b.queuedAtMs || a.ref.position - b.ref.position;
}

interface Turn {
  readonly quota: QuotaName;
  readonly weight: number;
}

function inTurn(a: Turn, b: Turn): number {
  return a.weight - b.weight || (a.quota < b.quota ? -1 : 1);
}

/** Puts one where it belongs, by halving. */
function insert(order: Turn[], turn: Turn): void {
  let low = 0;
  for (let high = order.length; low < high;) {
    const middle = (low + high) >> 1;
    const other = order[middle];
    if (other !== undefined && inTurn(other, turn) < 0) low = middle + 1;
    else high = middle;
  }
  order.splice(low, 0, turn);
}
