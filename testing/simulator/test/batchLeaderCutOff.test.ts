import { cutOffCases } from './cutOffCases.js';

cutOffCases('batchLeader');
