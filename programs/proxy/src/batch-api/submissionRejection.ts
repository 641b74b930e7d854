import type { Configuration, Finding, QuotaName, Service } from '@pewterlanding/model';
import { fleetCeiling, shareOf } from '@pewterlanding/rate-limit';
import type { Cost } from '@pewterlanding/rate-limit';
import type { RoutingState } from '../updates/index.js';
import type { BatchBody } from './batchBody.js';
import type { SubmittedBatch } from './submittedBatch.js';

type Rejection = Extract<SubmittedBatch, { kind: 'rejected' }>;

interface ItemLimits {
  readonly quota: QuotaName;
  readonly service: Service;
  /** Expected of an item's output. */
  readonly outputTokens: number;
  /** The most that the quota can reserve for one item. */
  readonly reservable: Cost;
}

/** Why the current configuration does not admit a submission; undefined when it does. */
export function submissionRejection(
  configuration: Configuration,
  routingState: RoutingState,
  quota: QuotaName,
  body: BatchBody,
): Rejection | undefined {
  const { tree, outputTokens } = routingState.tables;
  if (!tree.has(quota)) return { kind: 'rejected', status: 403, reason: 'no such quota' };
  const service = configuration.services[body.service];
  if (service === undefined) return { kind: 'rejected', status: 404, reason: 'no such service' };
  const { maxItems, fallbackRatio, waitingRatio } = configuration.bounds;
  if (body.items.length > maxItems) return { kind: 'rejected', status: 413, reason: `more than ${maxItems} items` };
  const reservable = shareOf(fleetCeiling(configuration, routingState.slots()), tree.ownShare(quota) * (1 - fallbackRatio) * waitingRatio);
  const findings = itemFindings(body, {
    quota,
    service,
    outputTokens: outputTokens.get(body.service) ?? service.outputTokens,
    reservable,
  });
  if (findings.length === 0) return undefined;
  return { kind: 'rejected', status: 422, reason: 'the batch cannot be accepted', findings };
}

function itemFindings(body: BatchBody, limits: ItemLimits): Finding[] {
  if (body.items.length === 0) return [{ place: 'items', message: 'at least one item' }];
  const findings: Finding[] = [];
  const seen = new Set<string>();
  body.items.forEach((item, position) => {
    if (seen.has(item.id)) findings.push({ place: `items.${position}.id`, message: `${item.id} is there twice` });
    seen.add(item.id);
    const finding = sizeFinding(item, position, limits);
    if (finding !== undefined) findings.push(finding);
  });
  return findings;
}

/** An item whose cost can never be reserved must not be accepted: it would wait for ever. */
function sizeFinding(item: BatchBody['items'][number], position: number, limits: ItemLimits): Finding | undefined {
  const { quota, service, outputTokens, reservable } = limits;
  const input = JSON.stringify(item.input);
  if (input.length > service.maxTaskBytes) return { place: `items.${position}.input`, message: `${item.id} is larger than a task may be` };
  const tokens = Math.ceil(input.length / service.bytesPerToken + outputTokens);
  if (tokens <= reservable.tokens && reservable.requests >= 1) return undefined;
  return {
    place: `items.${position}`,
    message: `${item.id} needs ${tokens} tokens; quota ${quota} can never give more than ${reservable.tokens} at once`,
  };
}
