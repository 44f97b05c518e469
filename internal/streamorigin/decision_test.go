package streamorigin

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const service = "s"

func recordAt(software string) Answer {
	return Answer{HasRecord: true, Origin: Origin{Service: service, Software: software}, Opinion: several}
}

func believes(only string) Answer { return Answer{Opinion: Opinion{Kind: OpinionOne, Only: only}} }

var several = Opinion{Kind: OpinionSeveral}

func TestStreamIsResumedOnlyAtCertainOrigin(t *testing.T) {
	mixed, none := Answer{Opinion: several}, Answer{}
	cases := map[string]struct {
		search   search
		finding  Finding
		software string
	}{
		"own record":                       {search{own: recordAt("v1")}, FindingRecord, "v1"},
		"a peer's record":                  {search{own: mixed, asked: 2, peers: []Answer{mixed, recordAt("v2")}}, FindingRecord, "v2"},
		"a record goes before beliefs":     {search{own: believes("v1"), asked: 1, peers: []Answer{recordAt("v2")}}, FindingRecord, "v2"},
		"records that contradict":          {search{own: mixed, asked: 2, peers: []Answer{recordAt("v1"), recordAt("v2")}}, FindingConflicting, ""},
		"a key of two streams":             {search{own: Answer{HasRecord: true, IsConflicting: true, Origin: Origin{service, "v1"}}}, FindingConflicting, ""},
		"begun at an unknown version":      {search{own: recordAt("")}, FindingConflicting, ""},
		"no record, several versions":      {search{own: mixed, asked: 1, peers: []Answer{mixed}}, FindingUnknown, ""},
		"one version, nobody else":         {search{own: believes("v1")}, FindingUnproven, ""},
		"one version, all agree":           {search{own: believes("v1"), asked: 2, peers: []Answer{believes("v1"), believes("v1")}}, FindingUnproven, ""},
		"one version, an older build":      {search{own: believes("v1"), asked: 1, peers: []Answer{none}}, FindingUnproven, ""},
		"one version, cut off":             {search{own: believes("v1"), asked: 3}, FindingNoAnswer, ""},
		"one version, alone":               {search{own: believes("v1"), evidence: EvidenceAlone}, FindingOnlyVersion, "v1"},
		"one version, proven":              {search{own: believes("v1"), evidence: EvidenceOwnList, asked: 2, peers: []Answer{believes("v1"), none}}, FindingOnlyVersion, "v1"},
		"one version, proven, cut off":     {search{own: believes("v1"), evidence: EvidenceOwnList, asked: 3}, FindingOnlyVersion, "v1"},
		"one version, a peer knows more":   {search{own: believes("v1"), evidence: EvidenceOwnList, asked: 2, peers: []Answer{believes("v1"), mixed}}, FindingUnknown, ""},
		"one version, a peer knows others": {search{own: believes("v1"), evidence: EvidenceOwnList, asked: 1, peers: []Answer{believes("v2")}}, FindingConflicting, ""},
		"one version, the proof has more":  {search{own: believes("v1"), evidence: EvidencePeer, further: []string{"v1", "v2"}}, FindingUnknown, ""},
		"one version, the proof's differs": {search{own: believes("v1"), evidence: EvidencePeer, further: []string{"v2"}}, FindingConflicting, ""},
		"cut off, own record":              {search{own: recordAt("v2"), asked: 3}, FindingRecord, "v2"},
		"several services":                 {search{own: believes("v1"), evidence: EvidenceOwnList, mustHaveRecord: true}, FindingUnknown, ""},
		"several services, a record":       {search{own: recordAt("v1"), mustHaveRecord: true}, FindingRecord, "v1"},
		"no back ends":                     {search{own: none}, FindingUnknown, ""},
	}
	for name, each := range cases {
		each.search.service = service
		origin, finding := each.search.decide()
		require.Equal(t, each.finding, finding, name)
		require.Equal(t, each.software, origin.Software, name)
	}
}

func TestUnknownVersionIsNotOne(t *testing.T) {
	require.Equal(t, OpinionSeveral, opinionOf([]string{""}).Kind)
	require.Equal(t, OpinionSeveral, opinionOf([]string{"", "v1"}).Kind)
	require.Equal(t, OpinionOne, opinionOf([]string{"v1"}).Kind)
	require.Equal(t, OpinionNone, opinionOf(nil).Kind)
}
