package exchange

import (
	"maps"

	"topazpulley/internal/slotqueue"
)

// queueStatsRecord is what waits for places of one service.
type queueStatsRecord struct {
	Service    string `avro:"service"`
	OnTime     int    `avro:"in_time"`
	Overdue    int    `avro:"late"`
	FreedSlots int    `avro:"freed"`
}

// addQueueStats returns the sums of both by service, without those of nothing.
func addQueueStats(one, other map[string]slotqueue.Stats) map[string]slotqueue.Stats {
	total := maps.Clone(one)
	if total == nil {
		total = map[string]slotqueue.Stats{}
	}
	for service, sums := range other {
		total[service] = total[service].Plus(sums)
	}
	return total
}

// queueStatsWithout takes a part out of sums by service, without those of nothing.
func queueStatsWithout(total, part map[string]slotqueue.Stats) map[string]slotqueue.Stats {
	left := make(map[string]slotqueue.Stats, len(total))
	for service, sums := range total {
		if rest := sums.Minus(part[service]); rest != (slotqueue.Stats{}) {
			left[service] = rest
		}
	}
	return left
}

func queueStatsRecords(sums map[string]slotqueue.Stats) []queueStatsRecord {
	records := make([]queueStatsRecord, 0, len(sums))
	for service, each := range sums {
		records = append(records, queueStatsRecord{Service: service, OnTime: each.OnTime, Overdue: each.Overdue, FreedSlots: each.FreedSlots})
	}
	return records
}

// queueStatsOf returns sums by service; nil if none are told.
func queueStatsOf(records []queueStatsRecord) map[string]slotqueue.Stats {
	if len(records) == 0 {
		return nil
	}
	sums := make(map[string]slotqueue.Stats, len(records))
	for _, each := range records {
		sums[each.Service] = slotqueue.Stats{OnTime: each.OnTime, Overdue: each.Overdue, FreedSlots: each.FreedSlots}
	}
	return sums
}
