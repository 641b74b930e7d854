import { describe, it } from 'node:test';
import { expect } from 'earl';
import { linearize } from '../../src/model/linearize.js';
import type { RegisterAnswer } from '../../src/model/registerAnswer.js';
import type { RegisterOperation } from '../../src/model/registerOperation.js';
import type { RegisterOrder } from '../../src/model/registerOrder.js';

const replace = (basedOn: number, revision: number, token: string): RegisterOrder => ({
  kind: 'replace',
  basedOn,
  revision,
  token,
  valid: true,
});
const amend = (basedOn: number, revision: number, token: string, put: readonly string[], drop: readonly string[] = []): RegisterOrder => ({
  kind: 'amend',
  basedOn,
  revision,
  token,
  put,
  drop,
});
const read: RegisterOrder = { kind: 'read' };
const taken = (revision: number): RegisterAnswer => ({ kind: 'outcome', outcome: 'taken', revision });
const conflict = (revision: number): RegisterAnswer => ({ kind: 'outcome', outcome: 'conflict', revision });
const content = (version: number, revision: number, token: string, services: readonly string[] = []): RegisterAnswer => ({
  kind: 'content',
  version,
  content: { revision, token, services },
});
const nothing = content(0, 0, '');

/** Operations one after the other, or as their times say: began, ended, order, answer. */
type Line = readonly [began: number, ended: number | undefined, order: RegisterOrder, answer?: RegisterAnswer];
const judge = (...lines: readonly Line[]): boolean =>
  linearize(lines.map(([began, ended, order, answer]): RegisterOperation => ({ began, ended, order, answer }))).linearizable;

describe('the check of the operators’ history', () => {
  it('accepts what one register may have answered', () => {
    expect(judge([1, 2, read, nothing], [3, 4, replace(0, 1, 'a'), taken(1)], [5, 6, read, content(1, 1, 'a')])).toEqual(true);
    // Two under one number: one is taken, the other refused, in either order.
    expect(judge([1, 4, replace(0, 1, 'a'), conflict(1)], [2, 3, replace(0, 1, 'b'), taken(1)], [5, 6, read, content(1, 1, 'b')])).toEqual(
      true,
    );
    // A read beside a change may see it or not.
    expect(judge([1, 6, replace(0, 1, 'a'), taken(1)], [2, 3, read, nothing], [4, 5, read, content(1, 1, 'a')])).toEqual(true);
    expect(
      judge([1, 2, replace(0, 1, 'a'), taken(1)], [3, 4, amend(1, 2, 'b', ['s1']), taken(2)], [5, 6, read, content(2, 2, 'a', ['s1'])]),
    ).toEqual(true);
  });

  it('accepts a repeat of what was taken, whatever is in force by then', () => {
    expect(judge([1, 2, replace(0, 1, 'a'), taken(1)], [3, 4, replace(1, 2, 'b'), taken(2)], [5, 6, replace(0, 1, 'a'), taken(2)])).toEqual(
      true,
    );
    // Tried twice before its answer: the answer is that of a repeat.
    expect(judge([1, 6, replace(0, 1, 'a'), taken(2)], [2, 3, replace(1, 2, 'b'), taken(2)])).toEqual(true);
  });

  it('accepts that an order without an answer takes effect late, or never', () => {
    expect(judge([1, undefined, replace(0, 1, 'a')], [2, 3, read, nothing], [4, 5, read, content(1, 1, 'a')])).toEqual(true);
    expect(judge([1, undefined, replace(0, 1, 'a')], [2, 3, read, nothing], [4, 5, replace(0, 1, 'b'), taken(1)])).toEqual(true);
  });

  it('rejects a read of what was in force before a confirmed change', () => {
    expect(judge([1, 2, replace(0, 1, 'a'), taken(1)], [3, 4, read, nothing])).toEqual(false);
    expect(judge([1, 6, replace(0, 1, 'a'), taken(1)], [2, 3, read, content(1, 1, 'a')], [4, 5, read, nothing])).toEqual(false);
  });

  it('rejects two confirmations under one number, or on one base', () => {
    expect(judge([1, 3, replace(0, 1, 'a'), taken(1)], [2, 4, replace(0, 1, 'b'), taken(1)])).toEqual(false);
    expect(judge([1, 3, replace(0, 1, 'a'), taken(1)], [2, 4, replace(0, 2, 'b'), taken(2)])).toEqual(false);
  });

  it('rejects a confirmed change that is gone, and one that comes from nowhere', () => {
    expect(judge([1, 2, replace(0, 1, 'a'), taken(1)], [3, 4, replace(0, 2, 'b'), taken(2)])).toEqual(false);
    expect(judge([1, 2, read, content(1, 1, 'x')])).toEqual(false);
    expect(judge([1, 2, replace(0, 1, 'a'), conflict(0)], [3, 4, read, content(1, 1, 'a')])).toEqual(false);
  });

  it('rejects a repeat that is refused, and one that has its effect twice', () => {
    expect(judge([1, 2, replace(0, 1, 'a'), taken(1)], [3, 4, replace(0, 1, 'a'), conflict(1)])).toEqual(false);
    expect(judge([1, 2, replace(0, 1, 'a'), taken(1)], [3, 4, replace(0, 1, 'a'), taken(1)], [5, 6, read, content(2, 1, 'a')])).toEqual(
      false,
    );
  });

  it('rejects a refusal that no register had a reason for', () => {
    expect(judge([1, 2, replace(0, 1, 'a'), taken(1)], [3, 4, replace(1, 2, 'b'), conflict(1)])).toEqual(false);
    expect(judge([1, undefined, replace(0, 1, 'a')], [2, 3, replace(0, 1, 'a'), conflict(0)])).toEqual(false);
  });
});
